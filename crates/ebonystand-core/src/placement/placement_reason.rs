use super::*;

/// Why a [`PlacementOrder`] is given, with the figures for its log line.
#[derive(Clone, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
pub enum PlacementReason {
    /// The smoothed demand exceeds the share of the replicas' capacity that they should serve.
    #[display("{demand} tokens/s for {replicas} replicas")]
    Demand {
        /// Smoothed demand in tokens per second.
        demand: Tokens,
        /// Number of replicas that were loaded or being loaded before the order.
        replicas: usize,
    },
    /// A retired replica runs no more requests.
    #[display("runs nothing")]
    Drained,
    /// The model has fewer replicas than its floor.
    #[display("{replicas} replicas for a floor of {floor}")]
    Floor {
        /// Smallest number of replicas, see [`ModelRequirements::floor`].
        floor: usize,
        /// Number of replicas that were loaded or being loaded before the order.
        replicas: usize,
    },
    /// The replica's engine is leaving, and other engines have at least as many replicas as the
    /// model should have.
    #[display("engine leaves, {replicas} replicas elsewhere")]
    Leaving {
        /// Number of loaded replicas on other engines that take requests.
        replicas: usize,
    },
    /// The replica's memory is needed for a model below its floor.
    #[display("room for {model}")]
    Room {
        /// Model below its floor that the memory is freed for.
        model: ModelId,
    },
    /// The smoothed demand needs one replica less.
    #[display("{demand} tokens/s for {replicas} replicas")]
    Surplus {
        /// Smoothed demand in tokens per second.
        demand: Tokens,
        /// Number of loaded replicas that took requests before the order.
        replicas: usize,
    },
}
