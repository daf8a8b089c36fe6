use super::*;

/// Service of a route with its share of the route's requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct SplitPart {
    /// Name of the service.
    pub service: ServiceId,
    /// Share of the requests, relative to the sum of all weights of the route.
    pub weight: u64,
}
