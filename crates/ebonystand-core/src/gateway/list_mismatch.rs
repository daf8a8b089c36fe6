use super::*;

/// Reason why an update of the list of upstreams cannot be applied. The list is unchanged, and a
/// whole copy is needed.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
#[snafu(context(suffix(false)))]
pub enum ListMismatch {
    /// The update applies to another list than the one in force.
    #[snafu(display("the update applies to list {base:016x}, and list {known:016x} is in force"))]
    Base {
        /// Digest of the list that the update applies to.
        base: u64,
        /// Digest of the list in force.
        known: u64,
    },
    /// The changes do not lead to the list that the update names.
    #[snafu(display("the changes lead to list {reached:016x} instead of {wanted:016x}"))]
    Digest {
        /// Digest of the list that the changes lead to.
        reached: u64,
        /// Digest of the list that the update names.
        wanted: u64,
    },
}
