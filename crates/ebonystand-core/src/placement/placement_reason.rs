use super::*;

/// Why a [`PlacementOrder`] is given.
#[derive(Clone, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
pub enum PlacementReason {
    /// Smoothed demand is above what the replicas should carry.
    #[display("{demand} tokens/s for {replicas} replicas")]
    Demand {
        /// Smoothed demand, in tokens a second.
        demand: Tokens,
        /// Replicas before the order.
        replicas: usize,
    },
    /// A retired replica runs nothing any more.
    #[display("runs nothing")]
    Drained,
    /// The model has fewer replicas than its floor.
    #[display("{replicas} replicas for a floor of {floor}")]
    Floor {
        /// The floor.
        floor: usize,
        /// Replicas before the order.
        replicas: usize,
    },
    /// Its engine is leaving, and the others carry the model.
    #[display("engine leaves, {replicas} replicas elsewhere")]
    Leaving {
        /// Warm replicas on other engines.
        replicas: usize,
    },
    /// Its room is needed by a model below its floor.
    #[display("room for {model}")]
    Room {
        /// That model.
        model: ModelId,
    },
    /// One replica less carries the smoothed demand.
    #[display("{demand} tokens/s for {replicas} replicas")]
    Surplus {
        /// Smoothed demand, in tokens a second.
        demand: Tokens,
        /// Replicas before the order.
        replicas: usize,
    },
}
