use super::*;

/// Grant as its claimant holds it: tokens for one request, and the holder they came from.
#[derive(Debug, Eq, PartialEq)]
pub(crate) struct HeldGrant {
    pub(crate) grant: LeaseId,
    pub(crate) holder: VmId,
    pub(crate) tokens: MicroTokens,
}
