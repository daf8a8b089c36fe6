use super::*;

/// Outcome of a VM's request to a peer for a newer configuration.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum PullOutcome {
    /// The peer answered in time.
    #[display("answered")]
    Answered,
    /// A part came when no pull from its sender was open, as after a timeout.
    #[display("late")]
    Late,
    /// The peer did not answer within [`Feed::PULL_TIMEOUT`], doubled for each earlier timeout in a
    /// row.
    #[display("timed out")]
    TimedOut,
}
