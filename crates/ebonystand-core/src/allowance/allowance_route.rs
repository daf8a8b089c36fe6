use super::*;

/// VMs that hold parts of one workspace's allowance, as one VM sees them.
#[derive(Debug, Default, Eq, PartialEq)]
pub(crate) struct AllowanceRoute {
    /// Holders of the other regions, with the time their answer takes at most.
    pub(crate) others: Vec<(VmId, Duration)>,
    /// Holder of the own region, with the same.
    pub(crate) own: Option<(VmId, Duration)>,
}
