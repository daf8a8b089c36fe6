use super::*;

/// Part and tokens of a lease that its borrower returns before the lease expires.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseReturn {
    /// What the borrower keeps of the lease.
    pub hold: LeaseHold,
    /// Number that grows with each return of the borrower; the lender credits the tokens of newer
    /// returns only.
    pub sequence: u64,
    /// Returned micro-tokens.
    pub tokens: MicroTokens,
}
