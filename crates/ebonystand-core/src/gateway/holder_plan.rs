use super::*;

/// Which VMs hold the parts of the allowances.
#[derive(Clone, Debug)]
pub struct HolderPlan<'a> {
    /// VMs with a log that are live, with their regions.
    pub live: &'a [(VmId, RegionId)],
    /// One-way delay to assume between two regions.
    pub delay: Duration,
    /// Regions as they are now.
    pub present: &'a BTreeMap<RegionId, Region>,
    /// All regions that there are.
    pub regions: &'a BTreeSet<RegionId>,
}

impl HolderPlan<'_> {
    /// Megabits a second that a link is taken to have; allowances alone go over it.
    const MEGABITS: u64 = 100;

    /// Regions with their holders. A region keeps its holders while one of them is live: a part
    /// that moves rests for [`LeaseTerms::HANDOVER_DELAY`], in which its tokens are missing.
    #[must_use]
    pub fn regions(&self) -> BTreeMap<RegionId, Region> {
        let regions = self.regions.iter();
        regions.map(|id| (id.clone(), self.region(id))).collect()
    }

    fn region(&self, id: &RegionId) -> Region {
        let links = self.regions.iter().filter(|to| *to != id).map(|to| {
            let link = Link {
                delay_ms: millis(self.delay),
                megabits: Self::MEGABITS,
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
        if let Some(region) = self.present.get(id)
            && region.holders.iter().any(is_live)
        {
            return region.holders.clone();
        }
        let here = self.live.iter().filter(|(_, region)| region == id);
        let here: BTreeSet<_> = here.map(|(vm, _)| vm.clone()).collect();
        here.into_iter().collect()
    }
}
