use super::*;

/// How a dispatch to an upstream ended, as the router records it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DispatchEnd {
    /// The complete answer arrived.
    Answered {
        /// Time from the dispatch to the first byte of the answer.
        first_token: Duration,
    },
    /// The caller left, or the gateway cancelled the dispatch. Such an end says nothing about the
    /// state of the upstream.
    Cancelled,
    /// The connection was refused, reset or truncated, or the upstream answered with an error.
    Failed,
    /// The upstream sent nothing for longer than a timeout.
    TimedOut,
}
