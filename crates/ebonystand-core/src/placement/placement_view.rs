use super::*;

/// Input of one placement decision: the controller's state and the engines' last reports at one
/// moment.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlacementView<'a> {
    /// Last report of each engine.
    pub(crate) engines: &'a BTreeMap<UpstreamId, EngineReport>,
    /// Time of the decision.
    pub(crate) now: Duration,
    /// Controller that decides.
    pub(crate) state: &'a PlacementController,
}

impl<'a> PlacementView<'a> {
    /// Replica count of each model in the settings.
    pub(crate) fn model_counts(&self) -> impl Iterator<Item = ReplicaCount<'a>> {
        let view = *self;
        let models = &view.state.settings.models;
        models
            .iter()
            .map(move |(model, requirements)| ReplicaCount {
                loading: view.count_loading(model),
                demand: view.state.smoothed_demand(model),
                model,
                requirements,
                warm: view.warm_replicas(model).count(),
            })
    }

    /// Engine with the most free memory that can load the model: one that serves requests, neither
    /// has nor loads the model, has not recently failed to load it and has enough memory.
    pub(crate) fn find_engine_for(&self, count: &ReplicaCount) -> Option<&'a UpstreamId> {
        let fits = |id: &UpstreamId, engine: &EngineReport| {
            let replica = ModelReplica::new(id, count.model);
            self.can_serve(engine)
                && !engine.models.contains_key(count.model)
                && !self.state.pending_loads.contains_key(&replica)
                && !self.state.failed_loads.contains_key(&replica)
                && self.free_bytes(id, engine) >= count.requirements.bytes
        };
        self.engines
            .iter()
            .filter(|(id, engine)| fits(id, engine))
            .max_by_key(|(id, engine)| self.free_bytes(id, engine))
            .map(|(id, _)| id)
    }

    /// Last report of a replica's engine, if it is recent and lists the replica.
    pub(crate) fn reporting_engine(&self, replica: &ModelReplica) -> Option<&'a EngineReport> {
        self.engines
            .get(&replica.engine)
            .filter(|engine| self.is_fresh(engine) && engine.models.contains_key(&replica.model))
    }

    /// Models with fewer replicas than their target, the most urgent first.
    pub(crate) fn lacking_models(&self) -> Vec<ReplicaCount<'a>> {
        let settings = &self.state.settings;
        let mut lacking: Vec<_> = self
            .model_counts()
            .filter(|count| count.total() < count.target(settings))
            .collect();
        lacking.sort_by(ReplicaCount::compare_urgency);
        lacking
    }

    /// Returns the most urgent model below its floor that no engine can load, as decided by
    /// [`Self::find_engine_for`].
    pub(crate) fn starved_model(&self) -> Option<ReplicaCount<'a>> {
        self.lacking_models()
            .into_iter()
            .find(|count| count.is_below_floor() && self.find_engine_for(count).is_none())
    }

    /// Order to retire one replica of the model, if one should be retired now.
    pub(crate) fn find_retirement(&self, count: &ReplicaCount<'a>) -> Option<PlacementOrder> {
        let (engine, reason) = self
            .find_leaving_replica(count)
            .or_else(|| self.find_surplus_replica(count))
            .or_else(|| self.find_replica_to_make_room(count))?;
        Some(PlacementOrder {
            action: PlacementAction::Retire,
            reason,
            replica: ModelReplica::new(engine, count.model),
        })
    }

    fn count_loading(&self, model: &ModelId) -> usize {
        let serving = |id| {
            self.engines
                .get(id)
                .is_some_and(|engine| self.can_serve(engine))
        };
        let loading = self.state.pending_loads.keys();
        loading
            .filter(|replica| replica.model == *model && serving(&replica.engine))
            .count()
    }

    fn free_bytes(&self, id: &UpstreamId, engine: &EngineReport) -> u64 {
        let loading =
            self.state.pending_loads.keys().filter(|replica| {
                replica.engine == *id && !engine.models.contains_key(&replica.model)
            });
        let used: u64 = engine
            .models
            .keys()
            .chain(loading.map(|replica| &replica.model))
            .filter_map(|model| self.state.settings.models.get(model))
            .map(|requirements| requirements.bytes)
            .sum();
        engine.weight_capacity.saturating_sub(used)
    }

    fn is_fresh(&self, engine: &EngineReport) -> bool {
        self.now.saturating_sub(engine.reported_at) <= self.state.settings.stale
    }

    /// Returns a replica on a leaving engine if the replicas on other engines that take requests
    /// are at least as many as the model should have, and at least one.
    fn find_leaving_replica(
        &self,
        count: &ReplicaCount<'a>,
    ) -> Option<(&'a UpstreamId, PlacementReason)> {
        if count.warm < count.target(&self.state.settings).max(1) {
            return None;
        }
        let replicas = count.warm;
        self.engines
            .iter()
            .find(|(id, engine)| {
                let replica = ModelReplica::new(id, count.model);
                engine.leaving
                    && self.reporting_engine(&replica).is_some()
                    && !self.state.retired_replicas.contains_key(&replica)
            })
            .map(|(id, _)| (id, PlacementReason::Leaving { replicas }))
    }

    /// A replica whose memory lets an engine load a model that is below its floor and fits on no
    /// engine. None while a retired replica is still loaded, so that memory is freed one replica at
    /// a time.
    fn find_replica_to_make_room(
        &self,
        count: &ReplicaCount<'a>,
    ) -> Option<(&'a UpstreamId, PlacementReason)> {
        let starved = self.starved_model()?;
        let mut retired = self.state.retired_replicas.keys();
        let making_room = retired.any(|replica| self.reporting_engine(replica).is_some());
        if making_room || count.warm <= count.requirements.floor.max(1) {
            return None;
        }
        let model = starved.model.clone();
        self.warm_replicas(count.model)
            .find(|(id, engine)| {
                !engine.models.contains_key(starved.model)
                    && self.free_bytes(id, engine) + count.requirements.bytes
                        >= starved.requirements.bytes
            })
            .map(|(id, _)| (id, PlacementReason::Room { model }))
    }

    fn can_serve(&self, engine: &EngineReport) -> bool {
        !engine.leaving && self.is_fresh(engine)
    }

    /// The least busy replica, if the model has more than it needs. A new controller has seen no
    /// demand yet, so it waits for the settle time before it treats missing demand as real. Without
    /// this wait, each change of controller would unload what the previous one had loaded.
    fn find_surplus_replica(
        &self,
        count: &ReplicaCount<'a>,
    ) -> Option<(&'a UpstreamId, PlacementReason)> {
        let settings = &self.state.settings;
        if self.now < self.state.started_at + settings.settle || !count.can_spare_replica(settings)
        {
            return None;
        }
        let reason = PlacementReason::Surplus {
            demand: count.demand as Tokens,
            replicas: count.warm,
        };
        self.warm_replicas(count.model)
            .min_by_key(|(_, engine)| engine.models.get(count.model))
            .map(|(id, _)| (id, reason))
    }

    fn warm_replicas(
        &self,
        model: &'a ModelId,
    ) -> impl Iterator<Item = (&'a UpstreamId, &'a EngineReport)> {
        let view = *self;
        view.engines.iter().filter(move |(id, engine)| {
            view.can_serve(engine)
                && engine.models.contains_key(model)
                && !view
                    .state
                    .retired_replicas
                    .contains_key(&ModelReplica::new(id, model))
        })
    }
}
