use super::*;

/// A service that takes a part of a route's requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct SplitPart {
    /// The service.
    pub service: ServiceId,
    /// Its part of the sum of all weights of the route.
    pub weight: u64,
}
