use super::*;

/// Which VMs a caller is told to connect to.
#[derive(Clone, Debug)]
pub struct EntryChoice<'a> {
    /// Where the caller stands.
    pub caller: &'a Place,
    /// A random number, by which lists that cannot name all VMs differ.
    pub draw: u64,
    /// Regions that may serve it, one set for each route of the host that names any: a caller asks for
    /// a host before it is known which route it will use.
    pub homes: &'a [&'a BTreeSet<RegionId>],
}

impl EntryChoice<'_> {
    /// Addresses that one list names at most.
    pub const LONGEST: usize = 64;

    /// VMs of a zone over which the zone's callers spread well enough for those of other zones to be left
    /// out of a list that cannot name all.
    const ENOUGH: usize = Self::LONGEST / 2;

    /// Addresses of VMs that take callers: those of the caller's region that stay, or else those of it
    /// that are leaving but serve on, or else those of the regions
    /// that are a home to the most routes. The nearest group alone is named, since callers pick from
    /// the list at random and would otherwise cross regions while a VM stands beside them.
    ///
    /// Of more VMs than a list names, those of the caller's zone are named, or a random part if these are few.
    #[must_use]
    pub fn pick<'a>(&self, vms: impl IntoIterator<Item = &'a VmRecord>) -> Vec<SocketAddr> {
        let mut nearest = usize::MAX;
        let mut picked = Vec::new();
        for vm in vms.into_iter().filter(|vm| vm.takes_callers) {
            let distance = self.distance(vm);
            if distance == usize::MAX {
                continue;
            }
            if distance < nearest {
                nearest = distance;
                picked.clear();
            }
            if distance == nearest {
                picked.push(vm);
            }
        }
        if picked.len() > Self::LONGEST {
            self.shorten(&mut picked);
        }
        picked.into_iter().map(|vm| vm.http).collect()
    }

    fn shorten(&self, vms: &mut Vec<&VmRecord>) {
        let in_zone = |vm: &VmRecord| vm.zone == self.caller.zone;
        if vms.iter().filter(|vm| in_zone(vm)).count() >= Self::ENOUGH {
            vms.retain(|vm| in_zone(vm));
        }
        let rendezvous = RendezvousHash::new(self.draw);
        vms.sort_by_cached_key(|vm| rendezvous.weight(&vm.vm));
        vms.truncate(Self::LONGEST);
    }

    fn distance(&self, vm: &VmRecord) -> usize {
        // A leaving VM serves on while its region has no other.
        match (vm.region == self.caller.region, vm.leaving) {
            (true, false) => return 0,
            (true, true) => return 1,
            (false, true) => return usize::MAX,
            (false, false) => {}
        }
        let others = self
            .homes
            .iter()
            .filter(|homes| !homes.contains(&vm.region));
        2 + others.count()
    }
}
