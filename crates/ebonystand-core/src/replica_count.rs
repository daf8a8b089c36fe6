use super::*;

/// Replicas of one model that take requests, and how many it should have.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReplicaCount<'a> {
    /// Being loaded.
    pub(crate) loading: usize,
    /// Smoothed demand, in tokens a second.
    pub(crate) demand: f64,
    /// The model.
    pub(crate) model: &'a ModelId,
    /// What it needs.
    pub(crate) requirements: &'a ModelRequirements,
    /// Loaded on engines that neither leave nor are lost, and not retired.
    pub(crate) warm: usize,
}

impl ReplicaCount<'_> {
    /// Loaded or being loaded.
    pub(crate) fn total(&self) -> usize {
        self.loading + self.warm
    }

    /// Whether it has fewer replicas than its floor.
    pub(crate) fn is_below_floor(&self) -> bool {
        self.total() < self.requirements.floor
    }

    /// Replicas that it should have: one more than it has, one less or as many.
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

    /// Why it gets a replica.
    pub(crate) fn reason_to_add(&self) -> PlacementReason {
        let replicas = self.total();
        if self.is_below_floor() {
            let floor = self.requirements.floor;
            return PlacementReason::Floor { floor, replicas };
        }
        let demand = self.demand as Tokens;
        PlacementReason::Demand { demand, replicas }
    }

    /// Whether the warm ones but one carry the model, and one at least remains.
    ///
    /// Replicas that are still being loaded do not count: the load may fail, and the model would
    /// have nowhere to run.
    pub(crate) fn can_spare_replica(&self, settings: &PlacementSettings) -> bool {
        self.warm > self.target(settings).max(1)
    }

    /// Order in which models get replicas: those below their floor first, then by load a replica.
    pub(crate) fn compare_urgency(&self, other: &Self) -> Ordering {
        let load = |count: &Self| {
            count.demand / (count.requirements.tokens_per_replica * count.total() as u64 + 1) as f64
        };
        let below = other.is_below_floor().cmp(&self.is_below_floor());
        below.then(load(other).total_cmp(&load(self)))
    }
}
