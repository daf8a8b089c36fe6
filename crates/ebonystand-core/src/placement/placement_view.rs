use super::*;

/// What a [`PlacementController`] decides on: its own state and the engines' last reports, at one moment.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlacementView<'a> {
    /// Last reports.
    pub(crate) engines: &'a BTreeMap<UpstreamId, EngineReport>,
    /// Time of the decision.
    pub(crate) now: Duration,
    /// The controller.
    pub(crate) state: &'a PlacementController,
}

impl<'a> PlacementView<'a> {
    /// Replicas of each model of the settings.
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

    /// Engine with the most room for a model that it has not, if any has enough.
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

    /// The report of a replica's engine, if it is recent and shows the replica.
    pub(crate) fn reporting_engine(&self, replica: &ModelReplica) -> Option<&'a EngineReport> {
        self.engines
            .get(&replica.engine)
            .filter(|engine| self.is_fresh(engine) && engine.models.contains_key(&replica.model))
    }

    /// Models with too few replicas, the most urgent first.
    pub(crate) fn lacking_models(&self) -> Vec<ReplicaCount<'a>> {
        let settings = &self.state.settings;
        let mut lacking: Vec<_> = self
            .model_counts()
            .filter(|count| count.total() < count.target(settings))
            .collect();
        lacking.sort_by(ReplicaCount::compare_urgency);
        lacking
    }

    /// The model below its floor that no engine has room for, if any.
    pub(crate) fn starved_model(&self) -> Option<ReplicaCount<'a>> {
        self.lacking_models()
            .into_iter()
            .find(|count| count.is_below_floor() && self.find_engine_for(count).is_none())
    }

    /// ModelReplica of a model that is to be retired now, if any.
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
        let coming =
            self.state.pending_loads.keys().filter(|replica| {
                replica.engine == *id && !engine.models.contains_key(&replica.model)
            });
        let taken: u64 = engine
            .models
            .keys()
            .chain(coming.map(|replica| &replica.model))
            .filter_map(|model| self.state.settings.models.get(model))
            .map(|requirements| requirements.bytes)
            .sum();
        engine.weight_capacity.saturating_sub(taken)
    }

    fn is_fresh(&self, engine: &EngineReport) -> bool {
        self.now.saturating_sub(engine.reported_at) <= self.state.settings.stale
    }

    /// A leaving engine gives up a model only once the others carry it without it.
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

    /// Frees room for a model that is below its floor and fits nowhere, one replica at a time.
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

    /// A new controller knows no demand yet: it watches before it takes a lack of it for real, or
    /// each change of the controller would unload what the last one had loaded.
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
