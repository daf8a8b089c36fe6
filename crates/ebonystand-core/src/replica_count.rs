use super::*;

/// Number of replicas of one model by their state, compared with the number that it should have.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReplicaCount<'a> {
    /// Number of replicas that are being loaded.
    pub(crate) loading: usize,
    /// Smoothed demand in tokens per second.
    pub(crate) demand: f64,
    /// Id of the model whose replicas are counted.
    pub(crate) model: &'a ModelId,
    /// The model's requirements by the settings.
    pub(crate) requirements: &'a ModelRequirements,
    /// Number of loaded replicas that take requests: not retired, and on engines that are neither
    /// leaving nor lost.
    pub(crate) warm: usize,
}

impl ReplicaCount<'_> {
    /// Number of replicas that are loaded or being loaded.
    pub(crate) fn total(&self) -> usize {
        self.loading + self.warm
    }

    /// Whether the model has fewer replicas than its floor.
    pub(crate) fn is_below_floor(&self) -> bool {
        self.total() < self.requirements.floor
    }

    /// Number of replicas that the model should have. It differs from the current number by at most
    /// one, except where the floor is higher.
    pub(crate) fn target(&self, settings: &PlacementSettings) -> usize {
        let demand = self.demand * 1_000.0;
        let carried = |replicas: usize, permille: u64| {
            (replicas as u64 * self.requirements.tokens_per_replica * permille) as f64
        };
        let one_less = self.total().saturating_sub(1);
        let target = if demand > carried(self.total(), settings.add_above_permille) {
            self.total() + 1
        } else if demand < carried(one_less, settings.remove_below_permille) {
            one_less
        } else {
            self.total()
        };
        target.max(self.requirements.floor)
    }

    /// Reason to log when the model gets another replica.
    pub(crate) fn reason_to_add(&self) -> PlacementReason {
        let replicas = self.total();
        if self.is_below_floor() {
            let floor = self.requirements.floor;
            return PlacementReason::Floor { floor, replicas };
        }
        let demand = self.demand as Tokens;
        PlacementReason::Demand { demand, replicas }
    }

    /// Whether the warm replicas but one carry the model, and at least one remains.
    ///
    /// Replicas that are being loaded do not count: the load may fail, and the model would have no
    /// replica left.
    pub(crate) fn can_spare_replica(&self, settings: &PlacementSettings) -> bool {
        self.warm > self.target(settings).max(1)
    }

    /// Order in which models get replicas: models below their floor first, then those with the
    /// highest demand per replica.
    pub(crate) fn compare_urgency(&self, other: &Self) -> Ordering {
        let load = |count: &Self| {
            count.demand / (count.requirements.tokens_per_replica * count.total() as u64 + 1) as f64
        };
        let below = other.is_below_floor().cmp(&self.is_below_floor());
        below.then(load(other).total_cmp(&load(self)))
    }
}
