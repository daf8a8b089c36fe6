use super::*;

/// Result of a request for tokens of a workspace's allowance.
#[derive(Debug, Eq, PartialEq)]
pub enum Admission {
    /// The tokens are taken from this VM's share.
    Granted(Reservation),
    /// The allowance does not have enough tokens for the request.
    Refused {
        /// Time until the fleet has enough tokens at the workspace's rate. [`Duration::MAX`] if it
        /// never will: the request exceeds the burst, or the workspace is not served in this
        /// region.
        retry_after: Duration,
    },
    /// This VM's share has too few tokens and claims them from holders. An [`AllowanceOutput`] with
    /// the same ticket follows.
    Waiting(TicketId),
}
