use super::*;

/// Holders of one workspace's allowance, grouped by whether they are in this VM's region.
#[derive(Debug, Default, Eq, PartialEq)]
pub(crate) struct AllowanceHolders {
    /// Holders in the other regions, each with the longest time to wait for its answer.
    pub(crate) other_regions: Vec<(VmId, Duration)>,
    /// Holder in the own region, with the time after which the others are asked too.
    pub(crate) own_region: Option<(VmId, Duration)>,
}
