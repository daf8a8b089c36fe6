use super::*;

/// Assigns the holders of the allowances in each region.
#[derive(Clone, Debug)]
pub struct HolderPlan<'a> {
    /// Live VMs that hold the replicated log, with their regions.
    pub live: &'a [(VmId, RegionId)],
    /// One-way delay assumed between any two regions.
    pub region_delay: Duration,
    /// Regions with their holders and links as currently in force.
    pub current: &'a BTreeMap<RegionId, Region>,
    /// Names of all regions.
    pub regions: &'a BTreeSet<RegionId>,
}

impl HolderPlan<'_> {
    /// Capacity assumed for a link between regions, in megabits per second; only allowance messages
    /// are charged against it.
    const ASSUMED_LINK_MEGABITS: u64 = 100;

    /// Returns all regions with their holders. A region keeps its holders while one of them is live:
    /// a part that moves to another VM is unusable for [`LeaseTerms::HANDOVER_DELAY`], and its
    /// tokens are missing meanwhile. It also keeps them while no other VM of the region is live,
    /// since a region that is cut off from this VM still serves its own callers.
    #[must_use]
    pub fn plan_regions(&self) -> BTreeMap<RegionId, Region> {
        let regions = self.regions.iter();
        regions.map(|id| (id.clone(), self.region(id))).collect()
    }

    fn region(&self, id: &RegionId) -> Region {
        let links = self.regions.iter().filter(|to| *to != id).map(|to| {
            let link = Link {
                delay_ms: millis(self.region_delay),
                megabits: Self::ASSUMED_LINK_MEGABITS,
            };
            (to.clone(), link)
        });
        Region {
            holders: self.holders(id),
            links: links.collect(),
        }
    }

    fn holders(&self, id: &RegionId) -> Vec<VmId> {
        let is_live = |vm: &VmId| self.live.iter().any(|(live, _)| live == vm);
        let here = self.live.iter().filter(|(_, region)| region == id);
        let here: BTreeSet<_> = here.map(|(vm, _)| vm.clone()).collect();
        match self.current.get(id) {
            Some(region) if here.is_empty() || region.holders.iter().any(is_live) => {
                region.holders.clone()
            }
            _ => here.into_iter().collect(),
        }
    }
}
