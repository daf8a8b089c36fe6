use super::*;

/// Which VMs of a region relay what its VMs tell one another.
///
/// VMs with equal views agree without a message. Where views differ, a VM relays for whoever reports to
/// it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RelayPlan {
    /// Each VM tells all others.
    is_direct: bool,
    relays: Vec<(ZoneId, VmId)>,
}

impl RelayPlan {
    /// Largest region in which each VM tells all others.
    pub const DIRECT: usize = 6;
    /// VMs for each relay of a zone, itself included. In the largest region planned, of 150 VMs, a relay then
    /// tells about as many of these as other relays.
    pub const GROUP: usize = 14;
    /// Seed of the weights by which a zone's relays are picked.
    const SEED: u64 = 1;

    /// Relays of a region with these VMs.
    #[must_use]
    pub fn new<'a>(vms: impl IntoIterator<Item = &'a RegionVm>) -> Self {
        let mut zones = BTreeMap::<&ZoneId, Vec<&RegionVm>>::new();
        for vm in vms {
            zones.entry(&vm.zone).or_default().push(vm);
        }
        let is_direct = zones.values().map(Vec::len).sum::<usize>() <= Self::DIRECT;
        let rendezvous = RendezvousHash::new(Self::SEED);
        let of_zone = |vms: Vec<&'a RegionVm>| {
            let count = match is_direct {
                true => vms.len(),
                false => vms.len().div_ceil(Self::GROUP),
            };
            let mut staying = vms.into_iter().filter(|vm| vm.stays).collect::<Vec<_>>();
            staying.sort_by_key(|vm| std::cmp::Reverse(rendezvous.weight(&vm.vm)));
            staying.into_iter().take(count)
        };
        let relays = zones.into_values().flat_map(of_zone);
        Self {
            is_direct,
            relays: relays.map(|vm| (vm.zone.clone(), vm.vm.clone())).collect(),
        }
    }

    /// Whether each VM tells all others.
    #[must_use]
    pub fn is_direct(&self) -> bool {
        self.is_direct
    }

    /// The VMs that relay.
    pub fn relays(&self) -> impl Iterator<Item = &VmId> {
        self.relays.iter().map(|(_, vm)| vm)
    }

    /// The relays in the order in which the VM `own` of `zone` reports to them: those of its zone first,
    /// spread among the zone's VMs.
    #[must_use]
    pub fn order(&self, own: &str, zone: &str) -> Vec<VmId> {
        let rendezvous = RendezvousHash::new(xxh3_64(own.as_bytes()));
        let others = self.relays.iter().filter(|(_, vm)| **vm != *own);
        let mut order = others.collect::<Vec<_>>();
        order.sort_by_key(|(of, vm)| (**of != *zone, std::cmp::Reverse(rendezvous.weight(vm))));
        order.into_iter().map(|(_, vm)| vm.clone()).collect()
    }
}
