/// How sending a request to one upstream ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptEnd {
    /// The whole answer came, and was no failure of the upstream.
    Answered,
    /// Its caller left.
    Cancelled,
    /// The upstream answered with a failure of its own, having run the request.
    Failed,
    /// It broke off or answered with what is no answer; the request may have run.
    Lost,
    /// It said that it did not run the request, since it is full.
    Shed,
    /// Another server has its address.
    Stranger,
    /// No answer came in time; the request may have run.
    TimedOut,
    /// No connection could be opened, so that nothing was sent.
    Unreachable,
}

impl AttemptEnd {
    /// Whether the request certainly has not run and never will.
    #[must_use]
    pub fn not_run(self) -> bool {
        matches!(self, Self::Shed | Self::Stranger | Self::Unreachable)
    }

    /// Whether an upstream of the service had the request in its hands, and be it to refuse it.
    #[must_use]
    pub fn is_attempt(self) -> bool {
        !matches!(self, Self::Stranger | Self::Unreachable)
    }

    /// Whether a byte of the request may have reached an upstream.
    #[must_use]
    pub fn was_sent(self) -> bool {
        self != Self::Unreachable
    }
}
