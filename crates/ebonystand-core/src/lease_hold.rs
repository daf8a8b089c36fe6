use super::*;

/// Part of a lease that its borrower still holds. It only shrinks, so late or duplicated reports do
/// no harm.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseHold {
    /// Identifier of the lease.
    pub lease: LeaseId,
    /// Rate and capacity still held.
    pub part: AllowancePart,
}
