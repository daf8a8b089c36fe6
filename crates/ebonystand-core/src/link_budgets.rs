use super::*;

/// A VM's budgets of the links from its region, by index of the other region.
#[derive(Clone, Debug)]
pub(crate) struct LinkBudgets {
    budgets: Vec<(RegionId, Option<LinkBudget>)>,
    vms: u32,
}

impl LinkBudgets {
    /// Takes over a document; a budget whose link is unchanged keeps its level, or each change of
    /// the configuration would allow another second's worth of bytes. A link that the document
    /// does not describe is taken for a slow one: left out, it would make the region's upstreams
    /// unreachable without a word.
    pub(crate) fn configure(&mut self, now: Duration, here: &Place, document: &Document) {
        let old = std::mem::take(&mut self.budgets);
        let own = document.regions.get(&here.region);
        let slow = Link::default();
        let budget = |id: &RegionId| {
            if *id == here.region {
                return None;
            }
            let link = own.and_then(|own| own.links.get(id)).unwrap_or(&slow);
            let new = LinkBudget::new(now, link, self.vms);
            let kept = old.iter().find(|(known, _)| known == id);
            let kept = kept.and_then(|(_, budget)| budget.clone());
            Some(kept.filter(|kept| kept.is_alike(&new)).unwrap_or(new))
        };
        let regions = document.regions.keys();
        self.budgets = regions.map(|id| (id.clone(), budget(id))).collect();
    }

    pub(crate) fn find_mut(&mut self, region: &str) -> Option<&mut LinkBudget> {
        let mut budgets = self.budgets.iter_mut();
        let (_, budget) = budgets.find(|(id, _)| &**id == region)?;
        budget.as_mut()
    }

    pub(crate) fn get(&self, region: u32) -> Option<&LinkBudget> {
        self.budgets.get(region as usize)?.1.as_ref()
    }

    pub(crate) fn get_mut(&mut self, region: u32) -> Option<&mut LinkBudget> {
        self.budgets.get_mut(region as usize)?.1.as_mut()
    }

    pub(crate) fn set_sharing_vms(&mut self, vms: u32) {
        self.vms = vms;
    }
}

impl Default for LinkBudgets {
    fn default() -> Self {
        Self {
            budgets: Vec::new(),
            vms: 1,
        }
    }
}
