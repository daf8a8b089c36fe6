use {super::*, rand::RngExt, rand_pcg::Pcg64Mcg};

/// Upstreams of one region that serve one target.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamGroup {
    /// Best upstream of earlier decisions of this VM.
    pub(crate) best_known: Option<u32>,
    /// Upstreams that are not leaving.
    pub(crate) members: Vec<u32>,
    pub(crate) region: u32,
}

impl UpstreamGroup {
    /// Members that are looked at, from a random one on, when none of the choices will do.
    pub(crate) const MAX_SCANNED: usize = 64;
    /// Members of a group of which all are weighed. Of a larger one, two random ones cut the
    /// longest queue exponentially against one, at a cost that does not grow with the group.
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

    /// All members of a small group if `is_whole`; otherwise random ones, and the best known one
    /// last.
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

    /// Up to [`Self::MAX_SCANNED`] members from a random one on.
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
