use super::*;

/// Regions of the fleet and the holders in them, as seen from one VM's region.
#[derive(Debug, Default)]
pub(crate) struct AllowanceFleet {
    /// Region of this VM.
    pub(crate) region: RegionId,
    /// Regions of the configuration, sorted by identifier.
    pub(crate) regions: Vec<(RegionId, Region)>,
}

impl AllowanceFleet {
    /// Derives a workspace's plan for the VM `vm` from the configuration.
    pub(crate) fn build_plan(
        &self,
        vm: &VmId,
        id: &WorkspaceId,
        workspace: &Workspace,
    ) -> AllowancePlan {
        let residency = self.residency_indices(workspace);
        let holders: Vec<(usize, &VmId)> = residency
            .iter()
            .filter_map(|region_index| {
                Some((
                    usize::from(*region_index),
                    self.find_holder(usize::from(*region_index), id)?,
                ))
            })
            .collect();
        let total = AllowancePart::total_of(workspace);
        let index = holders.iter().position(|(region_index, holder)| {
            self.regions[*region_index].0 == self.region && *holder == vm
        });
        let own_part = index.map_or(AllowancePart::ZERO, |index| {
            total.split(index as u64, holders.len() as u64)
        });
        AllowancePlan {
            handover: None,
            idle_level: 0,
            idle_since: Duration::ZERO,
            own_part,
            holders_hash: self.hash_holders(&holders),
            residency,
            total,
        }
    }

    /// Indices into `regions` of the workspace's residency.
    pub(crate) fn residency_indices(&self, workspace: &Workspace) -> Box<[u16]> {
        (0..)
            .zip(&self.regions)
            .filter(|(_, (id, _))| workspace.residency.contains(id))
            .map(|(region_index, _)| region_index)
            .collect()
    }

    /// Largest one-way delay from the own region to another.
    pub(crate) fn max_link_delay(&self) -> Duration {
        self.regions
            .iter()
            .map(|(id, _)| self.link_delay(id))
            .max()
            .unwrap_or_default()
    }

    /// Returns the holders of a workspace's parts, with the time after which each is not waited
    /// for.
    pub(crate) fn holders_of(&self, id: &WorkspaceId, residency: &[u16]) -> AllowanceHolders {
        let mut holders = AllowanceHolders::default();
        for region_index in residency
            .iter()
            .map(|region_index| usize::from(*region_index))
        {
            let Some(holder) = self.find_holder(region_index, id) else {
                continue;
            };
            let region = &self.regions[region_index].0;
            if *region == self.region {
                holders.own_region = Some((holder.clone(), LeaseTerms::HEDGE_DELAY));
            } else {
                let answer = LeaseTerms::ANSWER_MARGIN
                    + LeaseTerms::MAX_CLAIM_WAIT
                    + self.link_delay(region) * 2;
                holders.other_regions.push((holder.clone(), answer));
            }
        }
        holders
    }

    /// Whether the own region is among the regions that `residency` points to.
    pub(crate) fn is_served_here(&self, residency: &[u16]) -> bool {
        residency
            .iter()
            .any(|region_index| self.regions[usize::from(*region_index)].0 == self.region)
    }

    /// One-way delay to a region; a link configured only in the other direction counts for both.
    fn link_delay(&self, to: &RegionId) -> Duration {
        let delay = |from: &RegionId, to: &RegionId| {
            let (_, region) = self.regions.iter().find(|(id, _)| id == from)?;
            region.links.get(to).map(Link::delay)
        };
        delay(&self.region, to)
            .or_else(|| delay(to, &self.region))
            .unwrap_or_default()
    }

    /// Returns the VM that holds a region's part of a workspace. Rendezvous hashing gives the same
    /// answer on all VMs, and adding or removing a holder moves no workspace between the others.
    fn find_holder(&self, region_index: usize, id: &WorkspaceId) -> Option<&VmId> {
        let seed = xxh3_64(id.as_bytes());
        let holders = &self.regions[region_index].1.holders;
        holders
            .iter()
            .max_by_key(|vm| (xxh3_64_with_seed(vm.as_bytes(), seed), *vm))
    }

    /// Hash of regions and holders in their order; it changes when a part moves between VMs.
    fn hash_holders(&self, holders: &[(usize, &VmId)]) -> u64 {
        holders.iter().fold(0, |seed, (region_index, holder)| {
            let seed = xxh3_64_with_seed(self.regions[*region_index].0.as_bytes(), seed);
            xxh3_64_with_seed(holder.as_bytes(), seed)
        })
    }
}
