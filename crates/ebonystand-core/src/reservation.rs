use super::*;

/// Tokens that a request has taken; to be handed to [`Allowance::settle`] once, when it ends.
#[derive(Debug, Eq, PartialEq)]
pub struct Reservation {
    /// Where the tokens are from, if not from the own part.
    pub(crate) grant: Option<HeldGrant>,
    pub(crate) mark: u64,
    /// Tokens taken.
    pub tokens: Tokens,
    /// Whose allowance they are from.
    pub workspace: WorkspaceId,
}
