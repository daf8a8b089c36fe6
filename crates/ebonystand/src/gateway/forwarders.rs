use super::*;
use {ebonystand_core::VmEntry, std::collections::BTreeMap};

/// VMs of other regions that accept forwarded requests, derived from the live VMs.
pub(crate) struct Forwarders {
    live: Rc<[VmEntry]>,
    regions: BTreeMap<RegionId, OfRegion>,
}

#[derive(Default)]
struct OfRegion {
    /// VMs that still serve requests but will stop soon.
    leaving: Vec<(VmId, SocketAddr)>,
    staying: Vec<(VmId, SocketAddr)>,
}

impl Default for Forwarders {
    fn default() -> Self {
        Self {
            live: Rc::new([]),
            regions: BTreeMap::new(),
        }
    }
}

impl Forwarders {
    /// Selects the forwarders from `live` for a VM of the region `here`.
    pub(crate) fn new(live: Rc<[VmEntry]>, here: &str) -> Self {
        let mut regions = BTreeMap::<RegionId, OfRegion>::new();
        for VmEntry { record, .. } in live.iter() {
            let Some(address) = record.forwards.filter(|_| record.takes_callers) else {
                continue;
            };
            if *record.region == *here {
                continue;
            }
            let of_region = regions.entry(record.region.clone()).or_default();
            let vms = match record.leaving {
                true => &mut of_region.leaving,
                false => &mut of_region.staying,
            };
            vms.push((record.vm.clone(), address));
        }
        Self { live, regions }
    }

    /// Whether the forwarders are derived from this very `live` list.
    pub(crate) fn is_of(&self, live: &Rc<[VmEntry]>) -> bool {
        Rc::ptr_eq(&self.live, live)
    }

    /// Whether a region has a forwarder for which `is_sound` holds.
    pub(crate) fn has_any(&self, region: &str, is_sound: impl Fn(&VmId) -> bool) -> bool {
        let of_region = self.regions.get(region);
        of_region.is_some_and(|of_region| {
            let mut all = of_region.staying.iter().chain(&of_region.leaving);
            all.any(|(vm, _)| is_sound(vm))
        })
    }

    /// Returns the forwarders of a region for which `is_sound` holds: those that stay, or those
    /// that are leaving if there are no others.
    pub(crate) fn of(
        &self,
        region: &str,
        is_sound: impl Fn(&VmId) -> bool,
    ) -> Vec<&(VmId, SocketAddr)> {
        let Some(of_region) = self.regions.get(region) else {
            return Vec::new();
        };
        let sound = |(vm, _): &&(VmId, SocketAddr)| is_sound(vm);
        let staying = of_region.staying.iter().filter(sound).collect::<Vec<_>>();
        match staying.is_empty() {
            true => of_region.leaving.iter().filter(sound).collect(),
            false => staying,
        }
    }

    /// Returns the regions that have a forwarder, sound or not.
    pub(crate) fn regions(&self) -> impl Iterator<Item = &RegionId> {
        self.regions.keys()
    }
}
