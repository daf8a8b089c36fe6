use super::*;

/// Settings of a [`PlacementController`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PlacementSettings {
    /// Share of the replicas' capacity, in thousandths. A replica is added when demand exceeds it.
    pub add_above_permille: u64,
    /// Share of the capacity of all replicas but one, in thousandths. A replica is removed when
    /// demand falls below it. It should be well below
    /// [`add_above_permille`](Self::add_above_permille): between the two lies the dead band, in
    /// which the number of replicas does not change.
    pub remove_below_permille: u64,
    /// Requirements of each model that is placed. Models that are not listed are left as they are.
    pub models: BTreeMap<ModelId, ModelRequirements>,
    /// Time for which a new controller observes demand before it removes surplus replicas. An
    /// engine that failed to load a model is not asked to load it again for the same time.
    pub settle: Duration,
    /// Time constant of the exponential smoothing of demand.
    pub smoothing: Duration,
    /// Age of an engine's last report above which the engine counts as lost.
    pub stale: Duration,
    /// Rate in bytes per second at which the weight store serves the region.
    pub store_rate: u64,
}

impl PlacementSettings {
    /// Time that the store takes to transfer a model's weights.
    #[must_use]
    pub fn load_duration(&self, requirements: &ModelRequirements) -> Duration {
        Duration::from_secs_f64(requirements.bytes as f64 / self.store_rate.max(1) as f64)
    }
}
