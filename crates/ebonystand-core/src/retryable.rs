/// Whether a request that failed on an upstream may be sent to another.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Retryable {
    /// Running it twice does no harm.
    Idempotent,
    /// It may have run, and running it twice does harm.
    Never,
    /// No byte of it has left the VM.
    NotStarted,
}

impl Retryable {
    /// Class of a failed dispatch of a call that must (`once`) or need not run only once.
    /// `sent` says whether a byte of it may have left the VM, `relayed` whether a byte of an
    /// answer has reached the caller.
    #[must_use]
    pub fn classify(once: bool, sent: bool, relayed: bool) -> Self {
        match (relayed, sent, once) {
            (true, _, _) | (false, true, true) => Self::Never,
            (false, false, _) => Self::NotStarted,
            (false, true, false) => Self::Idempotent,
        }
    }
}
