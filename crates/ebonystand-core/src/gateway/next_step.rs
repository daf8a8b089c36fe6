use super::*;

/// What follows the end of an attempt that gave the caller nothing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NextStep {
    /// The caller is told, and whether its request has run.
    GiveUp {
        /// What can be promised.
        run: RunState,
    },
    /// Another upstream is tried.
    Retry,
}

impl NextStep {
    /// Decides after `tried` attempts, `not_run` saying that none of them can have run.
    ///
    /// A request that may run once only is sent again just when all earlier upstreams said that
    /// they did not run it; otherwise it could run twice. What such a request is told must stay
    /// true for ever, so `NotRun` needs the same of all attempts.
    #[must_use]
    pub fn after(
        route: &GatewayRoute,
        end: AttemptEnd,
        tried: u32,
        not_run: bool,
        budget: impl FnOnce() -> bool,
    ) -> Self {
        let run = match not_run {
            true => RunState::NotRun,
            false => RunState::Unknown,
        };
        let may_repeat = route.repeatable() || not_run;
        // An upstream that could not be connected to was not sent anything and is no attempt.
        // Nor is a server that only has the address of the one that was meant.
        let has_tries = !end.is_attempt() || tried < route.attempts;
        if end == AttemptEnd::Cancelled || !may_repeat || !has_tries || !budget() {
            return Self::GiveUp { run };
        }
        Self::Retry
    }
}
