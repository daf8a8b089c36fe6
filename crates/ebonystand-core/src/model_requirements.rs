use super::*;

/// What a model needs in a region.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ModelRequirements {
    /// Size of its weights, in bytes.
    pub bytes: u64,
    /// Replicas below which it never falls by an order.
    pub floor: usize,
    /// Tokens a second that one replica serves.
    pub tokens_per_replica: Tokens,
}
