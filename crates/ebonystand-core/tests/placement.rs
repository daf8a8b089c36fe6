//! Placement of models on engines.

use {
    ebonystand_core::{
        EngineReport, ModelId, ModelReplica, ModelRequirements, PlacementAction,
        PlacementController, PlacementOrder, PlacementReason, PlacementSettings, UpstreamId,
    },
    rand::{RngExt, SeedableRng},
    rand_pcg::Pcg64Mcg,
    std::{collections::BTreeMap, time::Duration},
};

const SECOND: Duration = Duration::from_secs(1);
const MODEL_BYTES: u64 = 20;
const STORE_RATE: u64 = 2;
const SEEDS: u64 = 100;

/// Simulated engines that follow each order, take the store's transfer time for a load and report
/// every second.
struct World {
    loading: Vec<(Duration, ModelReplica)>,
    controller: PlacementController,
    finishing: Vec<(Duration, ModelReplica)>,
    engines: BTreeMap<UpstreamId, EngineReport>,
    now: Duration,
    orders: Vec<(Duration, PlacementOrder)>,
}

impl World {
    /// Creates engines with memory for `room` models each, and models with a floor of one replica.
    fn new(engines: &[(&str, &[&str])], models: &[&str], room: u64) -> Self {
        let needs = ModelRequirements {
            bytes: MODEL_BYTES,
            floor: 1,
            tokens_per_replica: 100,
        };
        let settings = PlacementSettings {
            add_above_permille: 800,
            models: models
                .iter()
                .map(|model| ((*model).into(), needs))
                .collect(),
            remove_below_permille: 500,
            settle: SECOND * 60,
            smoothing: SECOND * 30,
            stale: SECOND * 5,
            store_rate: STORE_RATE,
        };
        let engine = |models: &[&str]| EngineReport {
            leaving: false,
            models: models.iter().map(|model| ((*model).into(), 0)).collect(),
            reported_at: Duration::ZERO,
            weight_capacity: room * MODEL_BYTES,
        };
        let engines = engines
            .iter()
            .map(|(id, models)| ((*id).into(), engine(models)));
        Self {
            loading: Vec::new(),
            controller: PlacementController::new(Duration::ZERO, settings),
            finishing: Vec::new(),
            engines: engines.collect(),
            now: Duration::ZERO,
            orders: Vec::new(),
        }
    }

    fn engine(&mut self, id: &str) -> &mut EngineReport {
        self.engines.get_mut(id).expect("an engine")
    }

    /// Number of replicas of a model that the router may use.
    fn serving(&self, model: &str) -> usize {
        let retired = |id| {
            self.controller
                .retired_replicas()
                .any(|r| r.engine == id && &*r.model == model)
        };
        let serves = |(id, engine): &(&UpstreamId, &EngineReport)| {
            !engine.leaving && engine.models.contains_key(model) && !retired((*id).clone())
        };
        self.engines.iter().filter(serves).count()
    }

    /// Advances by some seconds at a constant demand for each model.
    fn run(&mut self, seconds: u32, demand: &[(&str, f64)]) {
        for _ in 0..seconds {
            self.now += SECOND;
            for (_, replica) in self.loading.extract_if(.., |(at, _)| *at <= self.now) {
                if let Some(engine) = self.engines.get_mut(&replica.engine) {
                    engine.models.insert(replica.model, 0);
                }
            }
            for (_, replica) in self.finishing.extract_if(.., |(at, _)| *at <= self.now) {
                let engine = self.engines.get_mut(&replica.engine);
                if let Some(running) = engine.and_then(|e| e.models.get_mut(&replica.model)) {
                    *running = running.saturating_sub(1);
                }
            }
            for engine in self.engines.values_mut() {
                engine.reported_at = self.now;
            }
            for (model, rate) in demand {
                self.controller
                    .record_demand(self.now, &(*model).into(), *rate);
            }
            for order in self.controller.plan(self.now, &self.engines) {
                self.follow_order(order);
            }
        }
    }

    /// Follows an order and checks the invariants that hold for its kind.
    fn follow_order(&mut self, order: PlacementOrder) {
        let ModelReplica { engine, model } = order.replica.clone();
        match order.action {
            PlacementAction::Load => {
                let ready = self.now + Duration::from_secs(MODEL_BYTES / STORE_RATE);
                self.loading.push((ready, order.replica.clone()));
            }
            PlacementAction::Restore => {}
            PlacementAction::Retire => {
                let serving = self.serving(&model);
                assert!(serving >= 1, "{order}");
                if let PlacementReason::Surplus { demand, .. } = order.reason {
                    assert!(demand <= 50 * serving as u64, "{order}, {serving} left");
                }
                // One more request is in flight from a VM that does not know of the retirement yet.
                let running = self.engine(&engine).models.get_mut(&model);
                *running.expect("a loaded model") += 1;
                self.finishing
                    .push((self.now + SECOND * 4, order.replica.clone()));
            }
            PlacementAction::Unload => {
                let running = self.engine(&engine).models.remove(&model);
                assert_eq!(running, Some(0), "{order}");
                assert!(self.serving(&model) >= 1, "{order}");
            }
        }
        self.orders.push((self.now, order));
    }

    fn orders(&self, action: PlacementAction) -> usize {
        self.orders
            .iter()
            .filter(|(_, order)| order.action == action)
            .count()
    }

    /// Checks that the loads within each window between two loads stay within the store's rate.
    fn assert_within_store_rate(&self) {
        let loads: Vec<_> = self
            .orders
            .iter()
            .filter(|(_, order)| order.action == PlacementAction::Load)
            .collect();
        for (i, (from, _)) in loads.iter().enumerate() {
            for (n, (to, order)) in loads[i..].iter().enumerate() {
                let window = (*to - *from).as_secs();
                assert!(
                    n as u64 * MODEL_BYTES <= window * STORE_RATE,
                    "{order} at {to:?}"
                );
            }
        }
    }
}

/// An engine dies with the only replicas of three models. Each is loaded elsewhere, one after the
/// other, since parallel loads would share the store's rate and all finish late.
#[test]
fn floors_are_restored_within_the_stores_rate() {
    let mut world = World::new(&[("a", &["m", "n", "o"]), ("b", &[])], &["m", "n", "o"], 3);
    world.run(90, &[]);
    assert_eq!(world.orders(PlacementAction::Load), 0);
    world.engines.remove("a");
    world.run(60, &[]);
    assert!(
        ["m", "n", "o"]
            .iter()
            .all(|model| world.serving(model) == 1)
    );
    world.assert_within_store_rate();
}

/// A controller takes over during its predecessor's load, which no report shows yet, and must not
/// start a second one. The engine that it then picks fails to load, and the next load goes to
/// another engine.
#[test]
fn a_load_waits_for_the_last_one_and_avoids_an_engine_that_failed() {
    let mut world = World::new(&[("a", &[]), ("b", &[])], &["m"], 1);
    world.run(9, &[]);
    assert_eq!(world.orders.len(), 0);
    world.run(1, &[]);
    world.loading.clear();
    world.run(60, &[]);
    let engines: Vec<_> = world
        .orders
        .iter()
        .map(|(_, order)| &*order.replica.engine)
        .collect();
    assert_eq!(engines, ["b", "a"]);
}

/// Demand oscillates around the threshold at which a replica is added. Without a dead band, each
/// swing would load and unload a replica and keep the store busy for nothing.
#[test]
fn demand_within_the_dead_band_changes_nothing() {
    let mut world = World::new(&[("a", &["m"]), ("b", &["m"]), ("c", &[])], &["m"], 1);
    for _ in 0..20 {
        world.run(45, &[("m", 175.0)]);
        world.run(45, &[("m", 130.0)]);
    }
    assert!(world.orders.len() <= 1, "{:?}", world.orders);
}

/// A burst of a few seconds ends before a replica could be loaded for it, so it causes no order.
#[test]
fn a_short_burst_changes_nothing() {
    let mut world = World::new(&[("a", &["m"]), ("b", &[])], &["m"], 1);
    world.run(90, &[("m", 60.0)]);
    world.run(5, &[("m", 150.0)]);
    world.run(60, &[("m", 60.0)]);
    assert_eq!(world.orders.len(), 0, "{:?}", world.orders);
}

/// Demand grows, then falls. A replica is added, and one is removed once it runs no more requests.
#[test]
fn replicas_follow_demand() {
    let mut world = World::new(&[("a", &["m"]), ("b", &[])], &["m"], 1);
    world.run(200, &[("m", 150.0)]);
    assert_eq!(world.serving("m"), 2);
    world.engine("a").models.insert("m".into(), 3);
    world.engine("b").models.insert("m".into(), 1);
    world.run(200, &[("m", 20.0)]);
    assert_eq!(world.serving("m"), 1);
    assert_eq!(world.orders(PlacementAction::Unload), 0);
    world.engine("b").models.insert("m".into(), 0);
    world.run(20, &[("m", 20.0)]);
    assert_eq!(world.orders(PlacementAction::Unload), 1);
}

/// The controller changes while a model has three replicas under load. The new controller has seen
/// no demand yet, and would unload two of them if it treated that as no demand.
#[test]
fn a_new_controller_watches_before_it_unloads() {
    let all: &[_] = &[("a", &["m"] as &[_]), ("b", &["m"]), ("c", &["m"])];
    let mut world = World::new(all, &["m"], 1);
    world.run(50, &[]);
    world.run(300, &[("m", 220.0)]);
    assert_eq!(world.orders.len(), 0, "{:?}", world.orders);
}

/// An engine with the only replica of a model leaves. It keeps the replica until another engine has
/// loaded the model.
#[test]
fn a_leaving_engine_is_emptied_once_its_successor_is_warm() {
    let mut world = World::new(&[("a", &["m"]), ("b", &[])], &["m"], 1);
    world.run(20, &[]);
    world.engine("a").leaving = true;
    world.run(5, &[]);
    assert_eq!(world.orders(PlacementAction::Load), 1);
    assert_eq!(world.orders(PlacementAction::Retire), 0);
    world.run(30, &[]);
    assert!(world.engine("a").models.is_empty());
    assert_eq!(world.serving("m"), 1);
}

/// No engine has memory for a model below its floor, while another model has spare replicas. That
/// model gives up exactly one, although its demand would use all of them.
#[test]
fn a_model_below_its_floor_gets_room_from_one_above_its_own() {
    let all: &[_] = &[("a", &["m"] as &[_]), ("b", &["m"]), ("c", &["m"])];
    let mut world = World::new(all, &["m", "n"], 1);
    world.run(200, &[("m", 500.0)]);
    assert_eq!((world.serving("m"), world.serving("n")), (2, 1));
    let room = |order: &PlacementOrder| matches!(order.reason, PlacementReason::Room { .. });
    assert_eq!(
        world.orders.iter().filter(|(_, order)| room(order)).count(),
        1
    );
}

/// Engines die, come back empty, leave and return, and demand jumps. No order may remove a model's
/// last replica, cut off a request or exceed the store's rate, and in the end all floors are met.
#[test]
fn no_order_harms_whatever_the_engines_do() {
    let mut orders = 0;
    for seed in 0..SEEDS {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let models: [&str; 3] = ["m", "n", "o"];
        let all: &[_] = &[
            ("a", &models as &[_]),
            ("b", &[]),
            ("c", &["m"]),
            ("d", &[]),
        ];
        let mut world = World::new(all, &models, 2);
        for _ in 0..60 {
            let id: UpstreamId = ["a", "b", "c", "d"][rng.random_range(0..4)].into();
            let engine = world.engine(&id);
            match rng.random_range(0..5) {
                0 => engine.models.clear(),
                1 => engine.leaving = true,
                2 | 3 => engine.leaving = false,
                _ => {
                    let running = rng.random_range(0..2);
                    engine
                        .models
                        .values_mut()
                        .for_each(|model| *model = running);
                }
            }
            let demand = models.map(|model| (model, f64::from(rng.random_range(0..300))));
            world.run(rng.random_range(1..40), &demand);
        }
        for engine in world.engines.values_mut() {
            engine.leaving = false;
            engine.models.values_mut().for_each(|running| *running = 0);
        }
        world.run(300, &models.map(|model| (model, 10.0)));
        world.assert_within_store_rate();
        let unmet: Vec<ModelId> = models
            .map(ModelId::from)
            .into_iter()
            .filter(|model| world.serving(model) == 0)
            .collect();
        assert_eq!(unmet, Vec::<ModelId>::new(), "seed {seed}");
        orders += world.orders.len();
    }
    println!("{orders} orders in {SEEDS} seeds");
}
