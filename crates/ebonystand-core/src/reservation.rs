use super::*;

/// Tokens taken for a running request. Pass it to [`Allowance::settle_reservation`] exactly once,
/// when the request ends.
#[derive(Debug, Eq, PartialEq)]
pub struct Reservation {
    /// Grant that the tokens came with; `None` if they are from this VM's bucket.
    pub(crate) grant: Option<HeldGrant>,
    /// Position of the reservation in the bucket's slack history.
    pub(crate) mark: u64,
    /// Number of reserved tokens.
    pub tokens: Tokens,
    /// Workspace whose allowance the tokens belong to.
    pub workspace: WorkspaceId,
}
