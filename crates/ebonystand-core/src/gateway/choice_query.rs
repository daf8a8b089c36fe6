use super::*;

/// A request, as far as the choice of its upstream looks at it.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceQuery<'a> {
    /// Time to the first byte that is aimed at.
    pub aim: Duration,
    /// What an upstream of its service bears while it is cold.
    pub cold: ColdTerms,
    /// What the engines of its service keep and hand over; none for a plain service.
    pub engine: Option<EngineTerms>,
    /// Zones whose upstreams get nothing.
    pub evacuated: &'a BTreeSet<ZoneId>,
    /// Upstreams that must not get it, because they failed it.
    pub excluded: &'a [UpstreamId],
    /// Regions that may serve it; `None` if all may.
    pub homes: Option<&'a BTreeSet<RegionId>>,
    /// Time left for it.
    pub left: Duration,
    /// What it says of its prompt.
    pub prompt: Option<&'a Prompt>,
    /// Other regions with a VM that takes forwarded requests; empty for a request that was
    /// forwarded already.
    pub reachable: &'a BTreeSet<RegionId>,
    /// Service that serves it.
    pub service: &'a str,
}

impl ChoiceQuery<'_> {
    /// Whether a region may serve the request.
    #[must_use]
    pub fn allows(&self, region: &str) -> bool {
        self.homes.is_none_or(|homes| homes.contains(region))
    }
}
