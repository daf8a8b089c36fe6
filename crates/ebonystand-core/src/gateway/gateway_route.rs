use super::*;

/// Where requests for a host and a path prefix go, and what may be done with them.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct GatewayRoute {
    /// Time to the first byte of an answer that the operator aims at, in milliseconds.
    pub aim_ms: u64,
    /// Upstreams that one try of a caller may be sent to.
    pub attempts: u32,
    /// Whether its requests carry prompts whose parts are worth keeping on one upstream.
    pub has_prompts: bool,
    /// Regions that may serve it; empty if all may.
    pub homes: BTreeSet<RegionId>,
    /// Host that callers name, without a port.
    pub host: Box<str>,
    /// What may be repeated.
    pub kind: CallKind,
    /// Name.
    pub name: Box<str>,
    /// Longest pause between two events of a stream that is still on time, in milliseconds.
    pub pause_ms: u64,
    /// Path that it begins with; begins and ends with a slash.
    pub prefix: Box<str>,
    /// Whether it is served without a key.
    pub public: bool,
    /// Rank, 0 being the first.
    pub rank: u8,
    /// Whether a stream may go on at another upstream where it broke off.
    pub resumable: bool,
    /// Services that take its requests.
    pub split: Vec<SplitPart>,
    /// Longest time that a request may take, in milliseconds.
    pub timeout_ms: u64,
}

impl GatewayRoute {
    /// Whether a request of this route may run a second time.
    #[must_use]
    pub fn repeatable(&self) -> bool {
        match self.kind {
            CallKind::Idempotent => true,
            CallKind::Once => false,
            CallKind::Stream => self.resumable,
        }
    }

    /// The service for a request with this hash. Equal hashes go to equal services, so that what
    /// a service has cached is found again.
    #[must_use]
    pub fn service(&self, hash: u64) -> Option<&ServiceId> {
        let sum = self.weight();
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

    /// Sum of the weights.
    #[must_use]
    pub fn weight(&self) -> u64 {
        self.split
            .iter()
            .fold(0, |sum: u64, part| sum.saturating_add(part.weight))
    }
}
