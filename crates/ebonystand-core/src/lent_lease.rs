use super::*;

/// Lease as its lender sees it.
#[derive(Debug)]
pub(crate) struct LentLease {
    /// Expiry on the lender's clock; the borrower's lease has expired before it.
    pub(crate) expires_at: Duration,
    pub(crate) part: AllowancePart,
    /// Sequence number of the newest return that brought tokens back.
    pub(crate) last_return: u64,
    pub(crate) borrower: VmId,
}
