use super::*;
use {ebonystand_core::VmEntry, std::collections::BTreeMap};

/// Other VMs that accept forwarded requests, derived from the live VMs.
pub(crate) struct Forwarders {
    live: Rc<[VmEntry]>,
    regions: BTreeMap<RegionId, RegionForwarders>,
}

/// Forwarders of one region with their addresses for forwarded requests.
#[derive(Default)]
struct RegionForwarders {
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
    /// Selects from `live` the VMs that accept forwarded requests and take callers, without `own`.
    pub(crate) fn new(live: Rc<[VmEntry]>, own: &VmId) -> Self {
        let mut regions = BTreeMap::<RegionId, RegionForwarders>::new();
        for VmEntry { record, .. } in live.iter() {
            let Some(address) = record.forwards.filter(|_| record.takes_callers) else {
                continue;
            };
            if record.vm == *own {
                continue;
            }
            let region_forwarders = regions.entry(record.region.clone()).or_default();
            let vms = match record.leaving {
                true => &mut region_forwarders.leaving,
                false => &mut region_forwarders.staying,
            };
            vms.push((record.vm.clone(), address));
        }
        Self { live, regions }
    }

    /// Whether the forwarders are derived from this very `live` list.
    pub(crate) fn is_derived_from(&self, live: &Rc<[VmEntry]>) -> bool {
        Rc::ptr_eq(&self.live, live)
    }

    /// Whether a region has a forwarder for which `is_sound` holds.
    pub(crate) fn has_sound(&self, region: &str, is_sound: impl Fn(&VmId) -> bool) -> bool {
        let region_forwarders = self.regions.get(region);
        region_forwarders.is_some_and(|region_forwarders| {
            let mut all = region_forwarders
                .staying
                .iter()
                .chain(&region_forwarders.leaving);
            all.any(|(vm, _)| is_sound(vm))
        })
    }

    /// Whether a region has a forwarder for which `is_sound` holds and that is not leaving.
    pub(crate) fn has_staying(&self, region: &str, is_sound: impl Fn(&VmId) -> bool) -> bool {
        let region_forwarders = self.regions.get(region);
        region_forwarders.is_some_and(|known| known.staying.iter().any(|(vm, _)| is_sound(vm)))
    }

    /// Returns the forwarders of a region for which `is_sound` holds: those that stay, or those
    /// that are leaving if there are no others.
    pub(crate) fn list_sound(
        &self,
        region: &str,
        is_sound: impl Fn(&VmId) -> bool,
    ) -> Vec<&(VmId, SocketAddr)> {
        let Some(region_forwarders) = self.regions.get(region) else {
            return Vec::new();
        };
        let sound = |(vm, _): &&(VmId, SocketAddr)| is_sound(vm);
        let staying = region_forwarders
            .staying
            .iter()
            .filter(sound)
            .collect::<Vec<_>>();
        match staying.is_empty() {
            true => region_forwarders.leaving.iter().filter(sound).collect(),
            false => staying,
        }
    }

    /// Returns the regions that have a forwarder, sound or not.
    pub(crate) fn regions(&self) -> impl Iterator<Item = &RegionId> {
        self.regions.keys()
    }
}
