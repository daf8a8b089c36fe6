use {super::*, rand::RngExt, rand_pcg::Pcg64Mcg, xxhash_rust::xxh3::xxh3_64};

/// Ordered list of the VMs that a caller may send requests to, the preferred one first.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EntryList {
    /// VMs in order of preference, [`EntryList::MAX_ENTRIES`] at most.
    pub entries: Vec<EntryVm>,
    /// Time in seconds after which the caller must request a new list.
    pub valid_for_s: u64,
}

impl EntryList {
    /// Maximum number of VMs in a list.
    pub const MAX_ENTRIES: usize = 8;
    /// Number of different orders given to the callers of one key. A large workspace may have only
    /// one key, whose traffic must not all go to one VM.
    const ORDERS_PER_KEY: u64 = 8;
    /// Time in seconds for which a list is valid. Leaving VMs keep serving for longer than this.
    const VALID_FOR_S: u64 = 10;

    /// Creates the list for a caller near `caller` that uses the key `key`: VMs in the caller's
    /// zone come first, then those in its region, then those in the other regions of the residency.
    /// Leaving VMs are left out.
    #[must_use]
    pub fn new(
        rng: &mut Pcg64Mcg,
        vms: &[EntryVm],
        residency: &BTreeSet<RegionId>,
        caller: &Place,
        key: &str,
    ) -> Self {
        let order = rng.random_range(0..Self::ORDERS_PER_KEY);
        let rendezvous = RendezvousHash::new(xxh3_64(key.as_bytes()).wrapping_add(order));
        let mut entries = vms
            .iter()
            .filter(|vm| !vm.leaving && residency.contains(&vm.place.region))
            .collect::<Vec<_>>();
        entries.sort_by_cached_key(|vm| {
            let is_far = vm.place.region != caller.region;
            let is_other_zone = is_far || vm.place.zone != caller.zone;
            (is_far, is_other_zone, !rendezvous.weight(&vm.id))
        });
        Self {
            entries: entries
                .into_iter()
                .take(Self::MAX_ENTRIES)
                .cloned()
                .collect(),
            valid_for_s: Self::VALID_FOR_S,
        }
    }
}
