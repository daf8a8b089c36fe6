use {super::*, rustc_hash::FxHashMap};

/// Index of the upstreams in the current document, by id and by target and region.
#[derive(Clone, Debug, Default)]
pub(crate) struct UpstreamIndex {
    by_id: FxHashMap<UpstreamId, u32>,
    free_indices: Vec<u32>,
    groups: FxHashMap<Target, Vec<UpstreamGroup>>,
    /// Index of the own region; `u32::MAX` if the document does not list it.
    own_region: u32,
    regions: Vec<RegionId>,
    upstreams: Vec<UpstreamState>,
}

impl UpstreamIndex {
    /// Number of regions other than the own one whose upstreams a decision scores.
    pub(crate) const MAX_SAMPLED_REGIONS: usize = 6;

    /// The target's upstreams, grouped by region, in the regions that the query's residency allows.
    pub(crate) fn allowed_groups<'a>(
        &'a self,
        query: &'a RouteQuery,
    ) -> impl Iterator<Item = &'a UpstreamGroup> + Clone {
        self.groups(query.target)
            .unwrap_or_default()
            .iter()
            .filter(|group| query.residency.contains(self.region(group.region)))
    }

    /// Applies a document. Upstreams that were known before keep their load and circuit breaker.
    /// New ones go through slow start unless `warm` is set.
    pub(crate) fn configure(
        &mut self,
        now: Duration,
        own_place: &Place,
        document: &Document,
        warm: bool,
    ) {
        self.regions = document.regions.keys().cloned().collect();
        let own = self.regions.binary_search(&own_place.region);
        self.own_region = own.map_or(u32::MAX, |own| own as u32);
        self.remove_absent(document);
        for (id, upstream) in &document.upstreams {
            self.upsert(now, own_place, id, upstream, warm);
        }
        self.rebuild_groups(document);
    }

    pub(crate) fn find_index(&self, id: &str) -> Option<u32> {
        self.by_id.get(id).copied()
    }

    pub(crate) fn get(&self, index: u32) -> &UpstreamState {
        &self.upstreams[index as usize]
    }

    pub(crate) fn get_mut(&mut self, index: u32) -> &mut UpstreamState {
        &mut self.upstreams[index as usize]
    }

    pub(crate) fn groups(&self, target: &Target) -> Option<&[UpstreamGroup]> {
        self.groups.get(target).map(Vec::as_slice)
    }

    pub(crate) fn groups_mut(&mut self, target: &Target) -> &mut [UpstreamGroup] {
        self.groups
            .get_mut(target)
            .map_or(&mut [], Vec::as_mut_slice)
    }

    pub(crate) fn is_in_own_region(&self, group: &UpstreamGroup) -> bool {
        group.region == self.own_region
    }

    pub(crate) fn region(&self, index: u32) -> &RegionId {
        &self.regions[index as usize]
    }

    pub(crate) fn regions(&self) -> &[RegionId] {
        &self.regions
    }

    /// Groups that a decision scores: the own region's, and those of a few other regions starting
    /// from a random one. Their number is bounded, so that the cost of a decision does not grow
    /// with the number of regions.
    pub(crate) fn sampled_groups<'a>(
        &'a self,
        query: &'a RouteQuery,
        from: usize,
    ) -> impl Iterator<Item = &'a UpstreamGroup> {
        let from = from as u32;
        let local = self
            .allowed_groups(query)
            .filter(|group| self.is_in_own_region(group));
        let others = self
            .allowed_groups(query)
            .filter(|group| !self.is_in_own_region(group));
        let after = others.clone().filter(move |group| group.region >= from);
        let before = others.filter(move |group| group.region < from);
        local.chain(after.chain(before).take(Self::MAX_SAMPLED_REGIONS))
    }

    /// Whether an upstream serves the target and is not leaving.
    pub(crate) fn is_serving(&self, index: u32, target: &Target) -> bool {
        self.groups(target)
            .unwrap_or_default()
            .iter()
            .any(|group| group.members.binary_search(&index).is_ok())
    }

    /// Removes the upstreams that the document does not list. A later upstream reuses their index
    /// with another generation, so that hints to the old one are void.
    fn remove_absent(&mut self, document: &Document) {
        let upstreams = &mut self.upstreams;
        let free_indices = &mut self.free_indices;
        self.by_id.retain(|id, index| {
            let present = document.upstreams.contains_key(id);
            if !present {
                let state = &mut upstreams[*index as usize];
                state.leaving = true;
                state.generation = state.generation.wrapping_add(1);
                free_indices.push(*index);
            }
            present
        });
        free_indices.sort_unstable();
    }

    fn rebuild_groups(&mut self, document: &Document) {
        let mut groups = FxHashMap::<Target, Vec<UpstreamGroup>>::default();
        for (id, upstream) in &document.upstreams {
            let Some(index) = self.find_index(id) else {
                continue;
            };
            let region = self.get(index).region;
            for target in upstream.kind.targets() {
                let regions = groups.entry(target).or_default();
                UpstreamGroup::get_or_insert(regions, region).add_member(index, upstream.leaving);
            }
        }
        for group in groups.values_mut().flatten() {
            group.members.sort_unstable();
        }
        self.groups = groups;
    }

    /// Inserts or updates an upstream, and starts its slow start if it is new or returns.
    fn upsert(
        &mut self,
        now: Duration,
        own_place: &Place,
        id: &UpstreamId,
        upstream: &Upstream,
        warm: bool,
    ) {
        let Ok(region) = self.regions.binary_search(&upstream.region) else {
            return;
        };
        let mut state = match self.find_index(id) {
            Some(index) => self.get(index).clone(),
            None => UpstreamState::new(id, upstream),
        };
        let returns = self.find_index(id).is_none() || (state.leaving && !upstream.leaving);
        if state.address != upstream.address {
            state.paused_until = Duration::ZERO;
        }
        state.address = upstream.address;
        state.cost = upstream.cost;
        state.leaving = upstream.leaving;
        state.region = region as u32;
        state.speed = upstream.speed;
        state.is_in_own_region = upstream.region == own_place.region;
        state.is_in_own_zone = state.is_in_own_region && upstream.zone == own_place.zone;
        if returns && !warm {
            state.mark_cold(now);
        }
        self.insert_state(id, state);
    }

    fn insert_state(&mut self, id: &UpstreamId, mut state: UpstreamState) {
        if let Some(index) = self.find_index(id) {
            *self.get_mut(index) = state;
            return;
        }
        let index = match self.free_indices.pop() {
            Some(index) => {
                state.generation = self.get(index).generation.wrapping_add(1);
                *self.get_mut(index) = state;
                index
            }
            None => {
                self.upstreams.push(state);
                self.upstreams.len() as u32 - 1
            }
        };
        self.by_id.insert(id.clone(), index);
    }
}
