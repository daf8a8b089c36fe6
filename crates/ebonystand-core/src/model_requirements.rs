use super::*;

/// Requirements of a model in one region.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ModelRequirements {
    /// Size of the model's weights in bytes.
    pub bytes: u64,
    /// Smallest number of replicas. No order reduces the replicas below it.
    pub floor: usize,
    /// Tokens per second that one replica serves.
    pub tokens_per_replica: Tokens,
}
