use super::*;

/// Choice of the VMs that relay the load reports of a region.
///
/// VMs with more capacity relay first. VMs with equal views of the region agree on the choice without a message. Where views differ, a VM acts
/// as a relay for any VM that reports to it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RelayPlan {
    /// Whether the region is small enough for each VM to be a relay and send its load to all
    /// others. A VM that is about to stop is no relay and reports to one.
    is_direct: bool,
    relays: Vec<(ZoneId, VmId)>,
}

impl RelayPlan {
    /// Largest number of VMs in a region in which each VM, unless it is about to stop, sends its
    /// load to all others.
    pub const MAX_DIRECT_VMS: usize = 6;
    /// VMs per relay of a zone, the relay included. In the largest planned region, of 150 VMs, a
    /// relay then sends to about as many VMs as other relays.
    pub const VMS_PER_RELAY: usize = 14;
    /// Seed of the rendezvous hashing that picks a zone's relays.
    const RELAY_SEED: u64 = 1;

    /// Picks the relays of a region with these VMs.
    #[must_use]
    pub fn new<'a>(vms: impl IntoIterator<Item = &'a RegionVm>) -> Self {
        let mut zones = BTreeMap::<&ZoneId, Vec<&RegionVm>>::new();
        for vm in vms {
            zones.entry(&vm.zone).or_default().push(vm);
        }
        let is_direct = zones.values().map(Vec::len).sum::<usize>() <= Self::MAX_DIRECT_VMS;
        let rendezvous = RendezvousHash::new(Self::RELAY_SEED);
        let of_zone = |vms: Vec<&'a RegionVm>| {
            let count = match is_direct {
                true => vms.len(),
                false => vms.len().div_ceil(Self::VMS_PER_RELAY),
            };
            let mut staying = vms
                .into_iter()
                .filter(|vm| vm.is_staying)
                .collect::<Vec<_>>();
            staying.sort_by_key(|vm| std::cmp::Reverse((vm.capacity, rendezvous.weight(&vm.vm))));
            staying.into_iter().take(count)
        };
        let relays = zones.into_values().flat_map(of_zone);
        Self {
            is_direct,
            relays: relays.map(|vm| (vm.zone.clone(), vm.vm.clone())).collect(),
        }
    }

    /// Returns whether the region is small enough for each VM to be a relay, unless it is about to
    /// stop, and send its load to all others.
    #[must_use]
    pub fn is_direct(&self) -> bool {
        self.is_direct
    }

    /// Returns the VMs of the region that pass on the load reports of others, zone by zone.
    pub fn relays(&self) -> impl Iterator<Item = &VmId> {
        self.relays.iter().map(|(_, vm)| vm)
    }

    /// Returns the relays in the order in which the VM `own` of `zone` tries to report to them:
    /// those of its zone first, shuffled differently for each VM so that the load is spread.
    #[must_use]
    pub fn relay_order(&self, own: &str, zone: &str) -> Vec<VmId> {
        let rendezvous = RendezvousHash::new(xxh3_64(own.as_bytes()));
        let others = self.relays.iter().filter(|(_, vm)| **vm != *own);
        let mut order = others.collect::<Vec<_>>();
        order.sort_by_key(|(of, vm)| (**of != *zone, std::cmp::Reverse(rendezvous.weight(vm))));
        order.into_iter().map(|(_, vm)| vm.clone()).collect()
    }
}
