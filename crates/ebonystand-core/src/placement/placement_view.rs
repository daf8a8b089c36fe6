use super::*;

/// What a [`Placement`] decides on: its own state and the engines' last reports, at one moment.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlacementView<'a> {
    /// Last reports.
    pub(crate) engines: &'a BTreeMap<UpstreamId, EngineView>,
    /// Time of the decision.
    pub(crate) now: Duration,
    /// The controller.
    pub(crate) state: &'a Placement,
}

impl<'a> PlacementView<'a> {
    /// Replicas of each model of the settings.
    pub(crate) fn counts(&self) -> impl Iterator<Item = ModelCount<'a>> {
        let view = *self;
        let models = &view.state.settings.models;
        models.iter().map(move |(model, needs)| ModelCount {
            coming: view.coming(model),
            demand: view.state.demand_of(model),
            model,
            needs,
            warm: view.warm(model).count(),
        })
    }

    /// Engine with the most room for a model that it has not, if any has enough.
    pub(crate) fn engine_for(&self, count: &ModelCount) -> Option<&'a UpstreamId> {
        let fits = |id: &UpstreamId, engine: &EngineView| {
            let replica = ModelReplica::new(id, count.model);
            self.serves(engine)
                && !engine.models.contains_key(count.model)
                && !self.state.loading.contains_key(&replica)
                && !self.state.failed.contains_key(&replica)
                && self.free(id, engine) >= count.needs.bytes
        };
        self.engines
            .iter()
            .filter(|(id, engine)| fits(id, engine))
            .max_by_key(|(id, engine)| self.free(id, engine))
            .map(|(id, _)| id)
    }

    /// The report of a replica's engine, if it is recent and shows the replica.
    pub(crate) fn engine_of(&self, replica: &ModelReplica) -> Option<&'a EngineView> {
        self.engines
            .get(&replica.engine)
            .filter(|engine| self.is_fresh(engine) && engine.models.contains_key(&replica.model))
    }

    /// Models with too few replicas, the most urgent first.
    pub(crate) fn lacking(&self) -> Vec<ModelCount<'a>> {
        let settings = &self.state.settings;
        let mut lacking: Vec<_> = self
            .counts()
            .filter(|count| count.all() < count.need(settings))
            .collect();
        lacking.sort_by(ModelCount::urgency);
        lacking
    }

    /// The model below its floor that no engine has room for, if any.
    pub(crate) fn starved(&self) -> Option<ModelCount<'a>> {
        self.lacking()
            .into_iter()
            .find(|count| count.is_below_floor() && self.engine_for(count).is_none())
    }

    /// ModelReplica of a model that is to be retired now, if any.
    pub(crate) fn retirement(&self, count: &ModelCount<'a>) -> Option<PlacementOrder> {
        let (engine, reason) = self
            .leaving(count)
            .or_else(|| self.surplus(count))
            .or_else(|| self.room(count))?;
        Some(PlacementOrder {
            action: PlacementAction::Retire,
            reason,
            replica: ModelReplica::new(engine, count.model),
        })
    }

    fn coming(&self, model: &ModelId) -> usize {
        let serving = |id| {
            self.engines
                .get(id)
                .is_some_and(|engine| self.serves(engine))
        };
        let loading = self.state.loading.keys();
        loading
            .filter(|replica| replica.model == *model && serving(&replica.engine))
            .count()
    }

    fn free(&self, id: &UpstreamId, engine: &EngineView) -> u64 {
        let coming =
            self.state.loading.keys().filter(|replica| {
                replica.engine == *id && !engine.models.contains_key(&replica.model)
            });
        let taken: u64 = engine
            .models
            .keys()
            .chain(coming.map(|replica| &replica.model))
            .filter_map(|model| self.state.settings.models.get(model))
            .map(|needs| needs.bytes)
            .sum();
        engine.room.saturating_sub(taken)
    }

    fn is_fresh(&self, engine: &EngineView) -> bool {
        self.now.saturating_sub(engine.reported_at) <= self.state.settings.stale
    }

    /// A leaving engine gives up a model only once the others carry it without it.
    fn leaving(&self, count: &ModelCount<'a>) -> Option<(&'a UpstreamId, PlacementReason)> {
        if count.warm < count.need(&self.state.settings).max(1) {
            return None;
        }
        let replicas = count.warm;
        self.engines
            .iter()
            .find(|(id, engine)| {
                let replica = ModelReplica::new(id, count.model);
                engine.leaving
                    && self.engine_of(&replica).is_some()
                    && !self.state.retired.contains_key(&replica)
            })
            .map(|(id, _)| (id, PlacementReason::Leaving { replicas }))
    }

    /// Frees room for a model that is below its floor and fits nowhere, one replica at a time.
    fn room(&self, count: &ModelCount<'a>) -> Option<(&'a UpstreamId, PlacementReason)> {
        let starved = self.starved()?;
        let mut retired = self.state.retired.keys();
        let making_room = retired.any(|replica| self.engine_of(replica).is_some());
        if making_room || count.warm <= count.needs.floor.max(1) {
            return None;
        }
        let model = starved.model.clone();
        self.warm(count.model)
            .find(|(id, engine)| {
                !engine.models.contains_key(starved.model)
                    && self.free(id, engine) + count.needs.bytes >= starved.needs.bytes
            })
            .map(|(id, _)| (id, PlacementReason::Room { model }))
    }

    fn serves(&self, engine: &EngineView) -> bool {
        !engine.leaving && self.is_fresh(engine)
    }

    /// A new controller knows no demand yet: it watches before it takes a lack of it for real, or
    /// each change of the controller would unload what the last one had loaded.
    fn surplus(&self, count: &ModelCount<'a>) -> Option<(&'a UpstreamId, PlacementReason)> {
        let settings = &self.state.settings;
        if self.now < self.state.started + settings.settle || !count.spares_one(settings) {
            return None;
        }
        let reason = PlacementReason::Surplus {
            demand: count.demand as Tokens,
            replicas: count.warm,
        };
        self.warm(count.model)
            .min_by_key(|(_, engine)| engine.models.get(count.model))
            .map(|(id, _)| (id, reason))
    }

    fn warm(&self, model: &'a ModelId) -> impl Iterator<Item = (&'a UpstreamId, &'a EngineView)> {
        let view = *self;
        view.engines.iter().filter(move |(id, engine)| {
            view.serves(engine)
                && engine.models.contains_key(model)
                && !view
                    .state
                    .retired
                    .contains_key(&ModelReplica::new(id, model))
        })
    }
}
