/// Inputs of [`VmMembership::live`](crate::VmMembership::live) at one time. While two snapshots are
/// equal, the live VMs are the same.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LivenessSnapshot {
    pub(crate) is_isolated: bool,
    /// Whether each region answers, in the order of their names.
    pub(crate) reachable: Box<[bool]>,
    pub(crate) revision: u64,
}
