use super::*;

/// Tokens for one request that a holder granted.
#[derive(Debug, Eq, PartialEq)]
pub(crate) struct HeldGrant {
    pub(crate) grant: LeaseId,
    pub(crate) holder: VmId,
    pub(crate) tokens: MicroTokens,
}
