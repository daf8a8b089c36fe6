use super::*;

/// Unspent tokens of a grant that go back to its holder.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GrantRefund {
    /// Identifier of the grant.
    pub grant: LeaseId,
    /// Number that grows with each refund of the sender; the holder ignores one that is not newer
    /// than the last.
    pub sequence: u64,
    /// Unspent micro-tokens.
    pub tokens: MicroTokens,
}
