use super::*;

/// Which VMs a caller is told to connect to.
#[derive(Clone, Debug)]
pub struct EntryChoice<'a> {
    /// Where the caller stands.
    pub caller: &'a Place,
    /// Regions that may serve what it asks for; empty if all may.
    pub homes: &'a BTreeSet<RegionId>,
}

impl EntryChoice<'_> {
    /// Addresses that one list names at most.
    pub const LONGEST: usize = 64;

    /// Addresses of VMs that take callers: those of the caller's zone, else of its region, else of
    /// the homes, else of any region. The nearest group alone is named, since callers pick from the
    /// list at random and would otherwise cross regions while a VM stands beside them.
    #[must_use]
    pub fn pick(&self, vms: &[VmRecord]) -> Vec<SocketAddr> {
        let mut nearest = usize::MAX;
        let mut picked = Vec::new();
        for vm in vms.iter().filter(|vm| vm.takes_callers && !vm.leaving) {
            let distance = self.distance(vm);
            if distance < nearest {
                nearest = distance;
                picked.clear();
            }
            if distance == nearest && picked.len() < Self::LONGEST {
                picked.push(vm.http);
            }
        }
        picked
    }

    fn distance(&self, vm: &VmRecord) -> usize {
        let is_home = self.homes.is_empty() || self.homes.contains(&vm.region);
        match (vm.region == self.caller.region, is_home) {
            (true, _) => 0,
            (false, true) => 1,
            (false, false) => 2,
        }
    }
}
