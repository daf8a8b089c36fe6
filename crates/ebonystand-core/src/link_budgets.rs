use super::*;

/// Bandwidth budgets of one VM on the links from its region, in the order of the configured
/// regions.
#[derive(Clone, Debug)]
pub(crate) struct LinkBudgets {
    /// Budget of the link to each region; `None` for the own one.
    budgets: Vec<(RegionId, Option<LinkBudget>)>,
    /// Number of VMs that share each link.
    sharing_vms: u32,
}

impl LinkBudgets {
    /// Applies a configuration. A budget whose link is unchanged keeps its level; otherwise each
    /// change of the configuration would allow another second's worth of bytes. A link missing from
    /// the document is taken for a slow one: without a budget, the region's upstreams would
    /// silently become unreachable.
    pub(crate) fn configure(&mut self, now: Duration, here: &Place, document: &Document) {
        let old = std::mem::take(&mut self.budgets);
        let own = document.regions.get(&here.region);
        let slow = Link::default();
        let budget = |id: &RegionId| {
            if *id == here.region {
                return None;
            }
            let link = own.and_then(|own| own.links.get(id)).unwrap_or(&slow);
            let new = LinkBudget::new(now, link, self.sharing_vms);
            let kept = old.iter().find(|(known, _)| known == id);
            let kept = kept.and_then(|(_, budget)| budget.clone());
            Some(kept.filter(|kept| kept.has_same_link(&new)).unwrap_or(new))
        };
        let regions = document.regions.keys();
        self.budgets = regions.map(|id| (id.clone(), budget(id))).collect();
    }

    /// Budget of the link to a region by name; `None` for the own or an unknown region.
    pub(crate) fn find_mut(&mut self, region: &str) -> Option<&mut LinkBudget> {
        let mut budgets = self.budgets.iter_mut();
        let (_, budget) = budgets.find(|(id, _)| &**id == region)?;
        budget.as_mut()
    }

    /// Budget of the link to a region by index; `None` for the own or an unknown region.
    pub(crate) fn get(&self, region: u32) -> Option<&LinkBudget> {
        self.budgets.get(region as usize)?.1.as_ref()
    }

    /// Returns the same budget as [`Self::get`], for modification.
    pub(crate) fn get_mut(&mut self, region: u32) -> Option<&mut LinkBudget> {
        self.budgets.get_mut(region as usize)?.1.as_mut()
    }

    /// Sets the number of VMs that share each link, from the next [`Self::configure`] on.
    pub(crate) fn set_sharing_vms(&mut self, sharing_vms: u32) {
        self.sharing_vms = sharing_vms;
    }
}

impl Default for LinkBudgets {
    fn default() -> Self {
        Self {
            budgets: Vec::new(),
            sharing_vms: 1,
        }
    }
}
