use super::*;

/// Route: which services get the requests for a host and path prefix, and how these requests are
/// handled.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct GatewayRoute {
    /// Operator's target for the time to the first byte of an answer, in milliseconds.
    pub aim_ms: u64,
    /// Most upstreams to which one request of a caller may be sent.
    pub attempts: u32,
    /// Whether requests carry prompts that benefit from the caches of engines.
    pub has_prompts: bool,
    /// Regions that may serve the route; empty if all may.
    pub homes: BTreeSet<RegionId>,
    /// Host name that callers request, without a port.
    pub host: Box<str>,
    /// Execution guarantee of the route's calls and the form of their answers.
    pub kind: CallKind,
    /// Name of the route in logs and in the configuration.
    pub name: Box<str>,
    /// Longest pause between two events of a stream that still counts as on time, in milliseconds.
    pub pause_ms: u64,
    /// Path prefix of the route; begins and ends with a slash.
    pub prefix: Box<str>,
    /// Whether requests are served without a key.
    pub public: bool,
    /// Priority rank of the requests; 0 is served first.
    pub rank: u8,
    /// Whether a broken stream may be continued at another upstream.
    pub resumable: bool,
    /// Services that share the requests, with their weights.
    pub split: Vec<SplitPart>,
    /// Longest duration of a request, in milliseconds.
    pub timeout_ms: u64,
}

impl GatewayRoute {
    /// Returns whether a request of this route may run a second time.
    #[must_use]
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            CallKind::Idempotent => true,
            CallKind::Once => false,
            CallKind::Stream => self.resumable,
        }
    }

    /// Returns the service for a request with this hash, drawn by weight; `None` if all weights are
    /// 0. Equal hashes get the same service, so that its cached prompts are used again.
    #[must_use]
    pub fn select_service(&self, hash: u64) -> Option<&ServiceId> {
        let sum = self.total_weight();
        if sum == 0 {
            return None;
        }
        let mut left = hash % sum;
        for part in &self.split {
            if left < part.weight {
                return Some(&part.service);
            }
            left -= part.weight;
        }
        None
    }

    /// Returns the services that get requests of the route, in order of their names.
    #[must_use]
    pub fn services(&self) -> Vec<ServiceId> {
        let parts = self.split.iter().filter(|part| part.weight > 0);
        let mut services = parts.map(|part| part.service.clone()).collect::<Vec<_>>();
        services.sort_unstable();
        services
    }

    /// Returns the sum of the weights of all services.
    #[must_use]
    pub fn total_weight(&self) -> u64 {
        self.split
            .iter()
            .fold(0, |sum: u64, part| sum.saturating_add(part.weight))
    }
}
