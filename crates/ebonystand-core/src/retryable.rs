/// Whether a request whose dispatch failed may be sent to another upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Retryable {
    /// The request may have run, but running it twice does no harm.
    Idempotent,
    /// The request may have run and must run only once, or part of its answer has been relayed.
    Never,
    /// No byte of the request has left this VM, so it cannot have run.
    NotStarted,
}

impl Retryable {
    /// Classifies a failed dispatch. `once` says whether the request must run at most once, `sent`
    /// whether a byte of it may have left this VM, and `relayed` whether a byte of an answer has
    /// reached the caller.
    #[must_use]
    pub fn classify(once: bool, sent: bool, relayed: bool) -> Self {
        match (relayed, sent, once) {
            (true, _, _) | (false, true, true) => Self::Never,
            (false, false, _) => Self::NotStarted,
            (false, true, false) => Self::Idempotent,
        }
    }
}
