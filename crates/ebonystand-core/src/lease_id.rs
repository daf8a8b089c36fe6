use super::*;

/// Identifier of a lease or a grant, never used again, not even by a later start of the lender.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct LeaseId {
    /// Start of the VM that made the lease or grant.
    pub incarnation: Incarnation,
    /// Number of the lease or grant since the VM's start.
    pub sequence: u64,
}
