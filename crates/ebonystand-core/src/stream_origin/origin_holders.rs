use super::*;

/// VMs that may hold the origins of streams: the live ones that serve and do not leave, by region.
///
/// The VM that passes on the first event tells [`Self::NEAR_HOLDERS`] VMs of its region and one VM in each of
/// [`Self::AWAY_HOLDERS`] other regions, all chosen by rendezvous hashing of the stream's key. The VM that gets
/// the resumption doesn't know where the stream began, and asks the same ranks in its own region and in the
/// first regions by hash. It asks one rank more each, since the VM that began the stream may be among them.
#[derive(Clone, Debug, Default)]
pub struct OriginHolders {
    own: VmId,
    own_region: RegionId,
    regions: BTreeMap<RegionId, Vec<VmId>>,
}

impl OriginHolders {
    /// Other regions in which a VM holds an origin.
    pub const AWAY_HOLDERS: usize = 2;
    /// VMs of its region, besides itself, that a VM has hold an origin.
    pub const NEAR_HOLDERS: usize = 2;

    /// Creates the holders among `vms`, as the VM `own` of `own_region` sees them.
    #[must_use]
    pub fn new<'a>(
        own: VmId,
        own_region: RegionId,
        vms: impl IntoIterator<Item = &'a VmRecord>,
    ) -> Self {
        let mut regions = BTreeMap::<RegionId, Vec<VmId>>::new();
        for record in vms {
            let serves = record.takes_callers || record.forwards.is_some();
            if serves && !record.leaving {
                let vms = regions.entry(record.region.clone()).or_default();
                vms.push(record.vm.clone());
            }
        }
        Self {
            own,
            own_region,
            regions,
        }
    }

    /// Returns the VMs to which this one tells the origin of a stream that it has begun.
    #[must_use]
    pub fn to_tell(&self, key: StreamKey) -> Vec<VmId> {
        let others = self.ranked_regions(key);
        let others = others
            .into_iter()
            .filter(|region| **region != self.own_region);
        let away = others
            .take(Self::AWAY_HOLDERS)
            .flat_map(|region| self.first_of(key, region, 1));
        let near = self.first_of(key, &self.own_region, Self::NEAR_HOLDERS);
        near.into_iter().chain(away).collect()
    }

    /// Returns the VMs of this region that may hold the origin of a stream.
    #[must_use]
    pub fn to_ask_near(&self, key: StreamKey) -> Vec<VmId> {
        self.first_of(key, &self.own_region, Self::NEAR_HOLDERS + 1)
    }

    /// Returns the VMs that may hold the origin of a stream, wherever it began.
    #[must_use]
    pub fn to_ask(&self, key: StreamKey) -> Vec<VmId> {
        let others = self.ranked_regions(key).into_iter();
        let others = others
            .take(Self::AWAY_HOLDERS + 1)
            .filter(|region| **region != self.own_region);
        let away = others.flat_map(|region| self.first_of(key, region, 2));
        self.to_ask_near(key).into_iter().chain(away).collect()
    }

    /// Returns the first `count` VMs of a region in the stream's order, without this one.
    fn first_of(&self, key: StreamKey, region: &str, count: usize) -> Vec<VmId> {
        let preference = key.preference();
        let vms = self.regions.get(region).into_iter().flatten();
        let vms = vms.filter(|vm| **vm != self.own);
        let mut ranked = vms
            .map(|vm| (preference.weight(vm), vm))
            .collect::<Vec<_>>();
        if ranked.len() > count {
            ranked.select_nth_unstable_by(count, |a, b| b.cmp(a));
            ranked.truncate(count);
        }
        ranked.into_iter().map(|(_, vm)| vm.clone()).collect()
    }

    fn ranked_regions(&self, key: StreamKey) -> Vec<&RegionId> {
        let preference = key.preference();
        let mut regions = self.regions.keys().collect::<Vec<_>>();
        regions.sort_unstable_by_key(|region| std::cmp::Reverse(preference.weight(region)));
        regions
    }
}
