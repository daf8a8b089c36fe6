use super::*;

/// A live VM of a region.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RegionVm {
    /// Whether it stays; one that is about to stop relays nothing.
    pub stays: bool,
    /// Its name.
    pub vm: VmId,
    /// Its availability zone.
    pub zone: ZoneId,
}
