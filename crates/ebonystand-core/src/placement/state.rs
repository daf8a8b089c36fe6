use super::*;

/// Decides which engine of one region loads which model.
///
/// The VM that runs the controller holds the region's placement role ([`FencedRole`]) and sends
/// each order under a [`FencePermit`].
#[derive(Debug)]
pub struct PlacementController {
    demand: BTreeMap<ModelId, SmoothedRate>,
    /// Loads that timed out, with the time at which they were given up.
    pub(crate) failed_loads: BTreeMap<ModelReplica, Duration>,
    /// Loads that were ordered but that no engine has reported as done, with the time of the order.
    pub(crate) pending_loads: BTreeMap<ModelReplica, Duration>,
    /// Replicas that receive no new requests, with the time of their retirement.
    pub(crate) retired_replicas: BTreeMap<ModelReplica, Duration>,
    pub(crate) settings: PlacementSettings,
    pub(crate) started_at: Duration,
    store_free_at: Duration,
}

impl PlacementController {
    /// A load counts as failed after this multiple of the model's transfer time from the store,
    /// plus the settings' stale time.
    pub const LOAD_TIMEOUT_FACTOR: u32 = 3;

    /// Creates a controller that starts at `now`.
    ///
    /// Its predecessor may have ordered a load right before. The store therefore counts as busy for
    /// the transfer time of the largest model.
    #[must_use]
    pub fn new(now: Duration, settings: PlacementSettings) -> Self {
        let times = settings
            .models
            .values()
            .map(|requirements| settings.load_duration(requirements));
        Self {
            demand: BTreeMap::new(),
            failed_loads: BTreeMap::new(),
            pending_loads: BTreeMap::new(),
            retired_replicas: BTreeMap::new(),
            store_free_at: now + times.max().unwrap_or_default(),
            settings,
            started_at: now,
        }
    }

    /// Records a sample of the region's demand for a model, in tokens per second.
    pub fn record_demand(&mut self, now: Duration, model: &ModelId, rate: f64) {
        self.demand.entry(model.clone()).or_default().add_sample(
            now,
            rate,
            self.settings.smoothing,
        );
    }

    /// Smoothed demand for a model in tokens per second.
    #[must_use]
    pub fn smoothed_demand(&self, model: &ModelId) -> f64 {
        self.demand.get(model).map_or(0.0, SmoothedRate::value)
    }

    /// Replicas that receive no new requests.
    pub fn retired_replicas(&self) -> impl Iterator<Item = &ModelReplica> {
        self.retired_replicas.keys()
    }

    /// Returns the orders to give after the engines' last reports.
    pub fn plan(
        &mut self,
        now: Duration,
        engines: &BTreeMap<UpstreamId, EngineReport>,
    ) -> Vec<PlacementOrder> {
        self.update_pending_orders(now, engines);
        let mut orders = self.order_restores(now, engines);
        orders.extend(self.order_load(now, engines));
        orders.extend(self.order_retirements(now, engines));
        orders.extend(self.order_unloads(now, engines));
        orders
    }

    /// Orders one load, for the model that needs it most, once the store has finished the previous
    /// transfer.
    ///
    /// Parallel loads would share the store's rate and all finish late. In sequence, the first one
    /// finishes as early as possible.
    fn order_load(
        &mut self,
        now: Duration,
        engines: &BTreeMap<UpstreamId, EngineReport>,
    ) -> Option<PlacementOrder> {
        if now < self.store_free_at {
            return None;
        }
        let view = self.view(now, engines);
        let (count, engine) = view
            .lacking_models()
            .into_iter()
            .find_map(|count| view.find_engine_for(&count).map(|engine| (count, engine)))?;
        let order = PlacementOrder {
            action: PlacementAction::Load,
            reason: count.reason_to_add(),
            replica: ModelReplica::new(engine, count.model),
        };
        self.store_free_at = now + self.settings.load_duration(count.requirements);
        self.pending_loads.insert(order.replica.clone(), now);
        Some(order)
    }

    /// Restores retired replicas of models that need them again, which costs no transfer from the
    /// store.
    ///
    /// While a model below its floor waits for memory, demand alone restores no replica. Otherwise
    /// the same replica would be retired for its memory and restored for its demand without end.
    fn order_restores(
        &mut self,
        now: Duration,
        engines: &BTreeMap<UpstreamId, EngineReport>,
    ) -> Vec<PlacementOrder> {
        let view = self.view(now, engines);
        let is_starved = view.starved_model().is_some();
        let restore_order = |count: ReplicaCount| {
            if is_starved && !count.is_below_floor() {
                return None;
            }
            let replica = self.retired_replicas.keys().find(|replica| {
                let engine = view.reporting_engine(replica);
                replica.model == *count.model && engine.is_some_and(|engine| !engine.leaving)
            })?;
            Some(PlacementOrder {
                action: PlacementAction::Restore,
                reason: count.reason_to_add(),
                replica: replica.clone(),
            })
        };
        let orders: Vec<_> = view
            .lacking_models()
            .into_iter()
            .filter_map(restore_order)
            .collect();
        for order in &orders {
            self.retired_replicas.remove(&order.replica);
        }
        orders
    }

    /// Retires at most one replica of each model that can spare one, and at most one in total to
    /// free memory for a model below its floor.
    fn order_retirements(
        &mut self,
        now: Duration,
        engines: &BTreeMap<UpstreamId, EngineReport>,
    ) -> Vec<PlacementOrder> {
        let view = self.view(now, engines);
        let mut has_made_room = false;
        let mut orders: Vec<_> = view
            .model_counts()
            .filter_map(|count| view.find_retirement(&count))
            .collect();
        orders.retain(|order| {
            let is_for_room = matches!(order.reason, PlacementReason::Room { .. });
            !is_for_room || !std::mem::replace(&mut has_made_room, true)
        });
        for order in &orders {
            self.retired_replicas.insert(order.replica.clone(), now);
        }
        orders
    }

    /// Removes orders that have taken effect, and gives up loads that take too long.
    fn update_pending_orders(
        &mut self,
        now: Duration,
        engines: &BTreeMap<UpstreamId, EngineReport>,
    ) {
        let has = |replica: &ModelReplica| {
            engines
                .get(&replica.engine)
                .is_some_and(|engine| engine.models.contains_key(&replica.model))
        };
        let Self {
            failed_loads,
            settings,
            ..
        } = self;
        self.pending_loads.retain(|replica, ordered| {
            let requirements = settings.models.get(&replica.model);
            let time = requirements.map_or(Duration::ZERO, |requirements| {
                settings.load_duration(requirements)
            });
            let is_late = now >= *ordered + time * Self::LOAD_TIMEOUT_FACTOR + settings.stale;
            if is_late && !has(replica) {
                failed_loads.insert(replica.clone(), now);
            }
            !is_late && !has(replica)
        });
        failed_loads.retain(|_, at| now < *at + settings.settle);
        self.retired_replicas.retain(|replica, _| has(replica));
    }

    /// Orders to unload retired replicas that run no more requests.
    ///
    /// Only a report from at least the stale time after the retirement counts. An earlier one does
    /// not include requests that were in flight at the retirement, and unloading would cut them
    /// off. The model's other replicas are counted again, since an engine may have been lost or
    /// have come back empty since the retirement.
    fn order_unloads(
        &self,
        now: Duration,
        engines: &BTreeMap<UpstreamId, EngineReport>,
    ) -> Vec<PlacementOrder> {
        let view = self.view(now, engines);
        let carried_models: BTreeSet<_> = view
            .model_counts()
            .filter(|count| count.warm >= count.requirements.floor.max(1))
            .map(|count| count.model)
            .collect();
        let is_drained = |replica: &ModelReplica, since: Duration| {
            view.reporting_engine(replica).is_some_and(|engine| {
                engine.reported_at >= since + self.settings.stale
                    && engine.models.get(&replica.model) == Some(&0)
            })
        };
        self.retired_replicas
            .iter()
            .filter(|(replica, since)| {
                carried_models.contains(&replica.model) && is_drained(replica, **since)
            })
            .map(|(replica, _)| PlacementOrder {
                action: PlacementAction::Unload,
                reason: PlacementReason::Drained,
                replica: replica.clone(),
            })
            .collect()
    }

    fn view<'a>(
        &'a self,
        now: Duration,
        engines: &'a BTreeMap<UpstreamId, EngineReport>,
    ) -> PlacementView<'a> {
        PlacementView {
            engines,
            now,
            state: self,
        }
    }
}
