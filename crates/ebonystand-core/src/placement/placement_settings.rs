use super::*;

/// Settings of a [`PlacementController`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PlacementSettings {
    /// Share of what the replicas serve, in thousandths, above which one is added.
    pub add_above_permille: u64,
    /// Share of what the replicas but one serve, in thousandths, below which one is removed.
    /// Well below [`add_above_permille`](Self::add_above_permille): the difference is the dead
    /// band, in which the number of replicas stays as it is.
    pub remove_below_permille: u64,
    /// What each model needs; others are left alone.
    pub models: BTreeMap<ModelId, ModelRequirements>,
    /// Time for which a new controller watches before it removes for want of demand, and for which
    /// an engine that failed to load a model is not asked again.
    pub settle: Duration,
    /// Time constant of the smoothing of demand.
    pub smoothing: Duration,
    /// Age of a report above which its engine counts as lost.
    pub stale: Duration,
    /// Bytes a second that the weight store gives the region.
    pub store_rate: u64,
}

impl PlacementSettings {
    /// Time that a model's weights take from the store.
    #[must_use]
    pub fn load_duration(&self, requirements: &ModelRequirements) -> Duration {
        Duration::from_secs_f64(requirements.bytes as f64 / self.store_rate.max(1) as f64)
    }
}
