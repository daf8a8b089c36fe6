use super::*;

/// Properties of a request that determine which upstream gets it.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceQuery<'a> {
    /// Target for the time to the first byte.
    pub first_byte_target: Duration,
    /// Load limits of the service's upstreams while they are cold.
    pub cold: ColdTerms,
    /// Cache and link of the service's engines; `None` for a plain service.
    pub engine: Option<EngineSpec>,
    /// Evacuated zones, whose upstreams get no requests.
    pub evacuated: &'a BTreeSet<ZoneId>,
    /// Upstreams that already failed the request and must not get it again.
    pub excluded: &'a [UpstreamId],
    /// Regions that may serve the request; `None` if all may.
    pub homes: Option<&'a BTreeSet<RegionId>>,
    /// Time left until the deadline of the request.
    pub remaining_time: Duration,
    /// Prompt of the request; `None` if it carries none.
    pub prompt: Option<&'a Prompt>,
    /// Regions with another VM that accepts forwarded requests; empty if the request was already
    /// forwarded.
    pub reachable: &'a BTreeSet<RegionId>,
    /// Service that the request is for.
    pub service: &'a str,
    /// Software versions of the service that may get the request.
    pub software: SoftwareRule<'a>,
}

impl ChoiceQuery<'_> {
    /// Returns whether `region` may serve the request.
    #[must_use]
    pub fn is_region_allowed(&self, region: &str) -> bool {
        self.homes.is_none_or(|homes| homes.contains(region))
    }
}
