use {super::*, rand::RngExt, rand_pcg::Pcg64Mcg, xxhash_rust::xxh3::xxh3_64};

/// Ordered list of the VMs that a caller may use, best first.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EntryList {
    /// The VMs.
    pub entries: Vec<EntryVm>,
    /// Time in seconds after which the caller asks again.
    pub valid_for_s: u64,
}

impl EntryList {
    /// VMs that a list names.
    pub const LONGEST: usize = 8;
    /// Orders that the callers of one key are spread over: one large workspace may have only one
    /// key, and must not press all its traffic into one VM.
    const SPREAD: u64 = 8;
    /// Validity in seconds. Leaving VMs go on serving for longer than this.
    const VALID_FOR_S: u64 = 10;

    /// List for a caller near `caller` with this key: its own zone first, then its region, then
    /// the other regions of the residency. Leaving VMs are not named.
    #[must_use]
    pub fn new(
        rng: &mut Pcg64Mcg,
        vms: &[EntryVm],
        residency: &BTreeSet<RegionId>,
        caller: &Place,
        key: &str,
    ) -> Self {
        let order = rng.random_range(0..Self::SPREAD);
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
            entries: entries.into_iter().take(Self::LONGEST).cloned().collect(),
            valid_for_s: Self::VALID_FOR_S,
        }
    }
}
