use {super::*, std::net::IpAddr};

/// Selects the VMs whose addresses a caller is given to connect to.
#[derive(Clone, Debug)]
pub struct EntryListSelector<'a> {
    /// Region and availability zone of the caller.
    pub caller: &'a Place,
    /// Seed that stays the same for a caller; see [`Self::caller_seed`].
    pub caller_seed: u64,
    /// Random seed, so that lists too short to name all VMs differ between callers.
    pub random_seed: u64,
    /// Homes of each route of the requested host that restricts its regions. A caller asks for a
    /// host before its route is known.
    pub homes: &'a [&'a BTreeSet<RegionId>],
    /// Wall-clock time, which VMs nearly agree on.
    pub wall: Duration,
}

impl EntryListSelector<'_> {
    /// Most addresses on one list.
    pub const MAX_ADDRESSES: usize = 64;

    /// Least number of VMs in the caller's zone from which a truncated list names only VMs of that
    /// zone: the zone's callers then spread well enough over them.
    const MIN_ZONE_VMS: usize = Self::MAX_ADDRESSES / 2;

    /// Returns the addresses of the nearest VMs that accept callers: those in the caller's region
    /// that are not leaving, else its leaving ones that still serve, else those in the regions that
    /// are home to the most routes. Only the nearest group is listed, because callers pick from the
    /// list at random and would otherwise cross regions while a VM is available in their own.
    ///
    /// Where VMs differ in capacity, those with less are left out of some lists, so that over many
    /// callers each VM is picked in proportion to its capacity.
    ///
    /// If the group exceeds [`Self::MAX_ADDRESSES`], the list names VMs of the caller's zone, or a
    /// random subset of the group if that zone has too few.
    #[must_use]
    pub fn select_addresses<'a>(
        &self,
        vms: impl IntoIterator<Item = &'a VmRecord>,
    ) -> Vec<SocketAddr> {
        let mut nearest = usize::MAX;
        let mut picked = Vec::new();
        for vm in vms.into_iter().filter(|vm| vm.takes_callers) {
            let distance = self.rank_distance(vm);
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
        let sample = CapacitySample {
            seed: self.caller_seed,
            wall: self.wall,
        };
        sample.reduce(&mut picked);
        if picked.len() > Self::MAX_ADDRESSES {
            self.truncate_list(&mut picked);
        }
        picked.into_iter().map(|vm| vm.http).collect()
    }

    /// Returns a seed that is the same for all requests of a caller and differs between callers.
    #[must_use]
    pub fn caller_seed(caller: &Place, address: Option<IpAddr>) -> u64 {
        let address = address.map(|address| address.to_string());
        let address = address.unwrap_or_default();
        xxh3_64(format!("{address} {} {}", caller.region, caller.zone).as_bytes())
    }

    /// Reduces the list to [`Self::MAX_ADDRESSES`] VMs, of the caller's zone if it has enough.
    fn truncate_list(&self, vms: &mut Vec<&VmRecord>) {
        let in_zone = |vm: &VmRecord| vm.zone == self.caller.zone;
        if vms.iter().filter(|vm| in_zone(vm)).count() >= Self::MIN_ZONE_VMS {
            vms.retain(|vm| in_zone(vm));
        }
        let rendezvous = RendezvousHash::new(self.random_seed);
        vms.sort_by_cached_key(|vm| rendezvous.weight(&vm.vm));
        vms.truncate(Self::MAX_ADDRESSES);
    }

    /// Returns the rank of a VM's distance from the caller, lower being nearer; `usize::MAX`
    /// excludes the VM.
    fn rank_distance(&self, vm: &VmRecord) -> usize {
        // A leaving VM keeps serving while its region has no other.
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
