use super::*;

/// Step after an attempt that delivered nothing to the caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NextStep {
    /// Answer the caller with an error that states whether the request has run.
    GiveUp {
        /// Whether the request has run, as far as the VM can guarantee it to the caller.
        run: RunState,
    },
    /// Send the request to another upstream.
    Retry,
}

impl NextStep {
    /// Decides after the `tried`-th counted attempt. `not_run` states that none of the attempts can
    /// have run, and `budget` takes a retry from the retry budget if one is left.
    ///
    /// A request that may run only once is retried only if every earlier upstream confirmed that it
    /// did not run it; otherwise it could run twice. The answer to such a request must stay true,
    /// so `NotRun` as well requires this of all attempts.
    #[must_use]
    pub fn decide(
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
        let may_repeat = route.is_repeatable() || not_run;
        // An upstream that could not be connected to received nothing and does not count as an
        // attempt, nor does another server that answered at its address.
        let has_tries = !end.is_counted_attempt() || tried < route.attempts;
        let is_final = matches!(
            end,
            AttemptEnd::Cancelled | AttemptEnd::Departing | AttemptEnd::Quarantined
        );
        if is_final || !may_repeat || !has_tries || !budget() {
            return Self::GiveUp { run };
        }
        Self::Retry
    }
}
