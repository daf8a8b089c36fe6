use super::*;

/// Live VM of a region, with what the choice of relays depends on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RegionVm {
    /// Amount of work that the VM can carry, whatever it carries at present.
    pub capacity: VmCapacity,
    /// Whether the VM keeps running; one that is about to stop is not made a relay.
    pub is_staying: bool,
    /// Name of the VM.
    pub vm: VmId,
    /// Availability zone of the VM.
    pub zone: ZoneId,
}
