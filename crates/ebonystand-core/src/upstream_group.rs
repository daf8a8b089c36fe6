use {super::*, rand::RngExt, rand_pcg::Pcg64Mcg};

/// Upstreams of one region that serve one target.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamGroup {
    /// Best upstream of this VM's earlier decisions.
    pub(crate) best_known: Option<u32>,
    /// Indices of the upstreams that are not leaving, in ascending order.
    pub(crate) members: Vec<u32>,
    pub(crate) region: u32,
}

impl UpstreamGroup {
    /// Largest number of members that are scored, starting from a random one, when no sampled
    /// upstream is acceptable.
    pub(crate) const MAX_SCANNED: usize = 64;
    /// Size up to which all members of a group are scored. In a larger group, sampling two members
    /// instead of one shortens the longest queue exponentially, at a cost that does not grow with
    /// the group.
    const MAX_FULLY_SAMPLED: usize = 12;

    pub(crate) fn add_member(&mut self, index: u32, leaving: bool) {
        if !leaving {
            self.members.push(index);
        }
    }

    pub(crate) fn get_or_insert(groups: &mut Vec<Self>, region: u32) -> &mut Self {
        let at = match groups.binary_search_by_key(&region, |group| group.region) {
            Ok(at) => at,
            Err(at) => {
                groups.insert(at, Self::new(region));
                at
            }
        };
        &mut groups[at]
    }

    /// Visits all members of a small group if `is_whole` is set. Otherwise it visits two random
    /// members and then the best known one.
    pub(crate) fn sample(
        &self,
        rng: &mut Pcg64Mcg,
        is_whole: bool,
        mut visit: impl FnMut(u32, RouteReason),
    ) {
        let count = self.members.len();
        if count <= if is_whole { Self::MAX_FULLY_SAMPLED } else { 2 } {
            self.members
                .iter()
                .for_each(|&index| visit(index, RouteReason::Sampled));
            return;
        }
        let first = rng.random_range(0..count);
        let second = (first + rng.random_range(1..count)) % count;
        visit(self.members[first], RouteReason::Sampled);
        visit(self.members[second], RouteReason::Sampled);
        if let Some(best_known) = self.best_known {
            visit(best_known, RouteReason::BestKnown);
        }
    }

    /// Visits up to [`Self::MAX_SCANNED`] members, starting from a random one.
    pub(crate) fn scan(&self, rng: &mut Pcg64Mcg, mut visit: impl FnMut(u32)) {
        if self.members.is_empty() {
            return;
        }
        let first = rng.random_range(0..self.members.len());
        self.members
            .iter()
            .cycle()
            .skip(first)
            .take(self.members.len().min(Self::MAX_SCANNED))
            .for_each(|&index| visit(index));
    }

    fn new(region: u32) -> Self {
        Self {
            best_known: None,
            members: Vec::new(),
            region,
        }
    }
}
