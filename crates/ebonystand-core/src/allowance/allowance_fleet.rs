use super::*;

/// Regions and their holders, as one VM sees them.
#[derive(Debug, Default)]
pub(crate) struct AllowanceFleet {
    /// Own region's name.
    pub(crate) region: RegionId,
    /// In order of names.
    pub(crate) regions: Vec<(RegionId, Region)>,
}

impl AllowanceFleet {
    /// What the configuration says of a workspace.
    pub(crate) fn plan(&self, vm: &VmId, id: &WorkspaceId, workspace: &Workspace) -> AllowancePlan {
        let residency = self.residency(workspace);
        let holders: Vec<(usize, &VmId)> = residency
            .iter()
            .filter_map(|place| Some((usize::from(*place), self.holder(usize::from(*place), id)?)))
            .collect();
        let whole = AllowancePart::whole(workspace);
        let index = holders
            .iter()
            .position(|(place, holder)| self.regions[*place].0 == self.region && *holder == vm);
        let own = index.map_or(AllowancePart::ZERO, |index| {
            whole.split(index as u64, holders.len() as u64)
        });
        AllowancePlan {
            handover: None,
            idle_level: 0,
            idle_since: Duration::ZERO,
            own,
            structure: self.structure(&holders),
            residency,
            whole,
        }
    }

    /// Places of the residency's regions.
    pub(crate) fn residency(&self, workspace: &Workspace) -> Box<[u16]> {
        (0..)
            .zip(&self.regions)
            .filter(|(_, (id, _))| workspace.residency.contains(id))
            .map(|(place, _)| place)
            .collect()
    }

    /// Longest one-way delay of the own region's links.
    pub(crate) fn reach(&self) -> Duration {
        self.regions
            .iter()
            .map(|(id, _)| self.delay(id))
            .max()
            .unwrap_or_default()
    }

    /// Whom to ask for a workspace's allowance.
    pub(crate) fn route(&self, id: &WorkspaceId, residency: &[u16]) -> AllowanceRoute {
        let mut route = AllowanceRoute::default();
        for place in residency.iter().map(|place| usize::from(*place)) {
            let Some(holder) = self.holder(place, id) else {
                continue;
            };
            let region = &self.regions[place].0;
            if *region == self.region {
                route.own = Some((holder.clone(), LeaseTerms::HEDGE));
            } else {
                let answer = LeaseTerms::ANSWER + LeaseTerms::CLAIM + self.delay(region) * 2;
                route.others.push((holder.clone(), answer));
            }
        }
        route
    }

    /// Whether the own region is among `residency`.
    pub(crate) fn serves(&self, residency: &[u16]) -> bool {
        residency
            .iter()
            .any(|place| self.regions[usize::from(*place)].0 == self.region)
    }

    fn delay(&self, to: &RegionId) -> Duration {
        let delay = |from: &RegionId, to: &RegionId| {
            let (_, region) = self.regions.iter().find(|(id, _)| id == from)?;
            region.links.get(to).map(Link::delay)
        };
        delay(&self.region, to)
            .or_else(|| delay(to, &self.region))
            .unwrap_or_default()
    }

    /// Holder of a region's part, by rendezvous hashing: equal on all VMs, and a holder that is
    /// added or removed moves no workspace between the others.
    fn holder(&self, place: usize, id: &WorkspaceId) -> Option<&VmId> {
        let seed = xxh3_64(id.as_bytes());
        let holders = &self.regions[place].1.holders;
        holders
            .iter()
            .max_by_key(|vm| (xxh3_64_with_seed(vm.as_bytes(), seed), *vm))
    }

    fn structure(&self, holders: &[(usize, &VmId)]) -> u64 {
        holders.iter().fold(0, |seed, (place, holder)| {
            let seed = xxh3_64_with_seed(self.regions[*place].0.as_bytes(), seed);
            xxh3_64_with_seed(holder.as_bytes(), seed)
        })
    }
}
