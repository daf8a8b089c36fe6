use super::*;

/// What comes back of a grant.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GrantRefund {
    /// Which.
    pub grant: LeaseId,
    /// Grows with each refund of the sender; an older or equal one counts no more.
    pub sequence: u64,
    /// Micro-tokens that come back.
    pub tokens: MicroTokens,
}
