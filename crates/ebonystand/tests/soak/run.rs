use {
    crate::{
        callers,
        event::{Event, Ran},
        fleet::{Fleet, FleetBuilder},
        history::History,
        operator,
        plan::{Fault, Plan, Silence, Step},
        stand_in::StandIn,
        vm::Addresses,
    },
    awc::Client,
    ebonystand_core::{Region, RegionId},
    ebonystand_fakes::EngineOptions,
    rand::{RngExt as _, SeedableRng as _},
    rand_pcg::Pcg64Mcg,
    std::{
        cell::{Cell, RefCell},
        collections::{BTreeMap, VecDeque},
        ops::Range,
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::sync::mpsc::UnboundedSender,
};

const CALLERS: usize = 8;
const OPERATORS: usize = 2;
/// Time after the last fault within which every VM has the newest configuration.
const SETTLES: Duration = Duration::from_secs(60);
/// Time between two looks at the plan.
const TICK: Duration = Duration::from_millis(20);
/// Time for which starved VMs run or stand still.
const TURN: Duration = Duration::from_millis(80);

/// What callers and operators of a run share.
pub(crate) struct World {
    addresses: Vec<Addresses>,
    history: RefCell<History>,
    incarnations: RefCell<Vec<u64>>,
    is_over: Cell<bool>,
    kills: RefCell<Vec<u64>>,
    orders: Cell<u64>,
    regions: BTreeMap<RegionId, Region>,
    revisions: Cell<u64>,
    rng: RefCell<Pcg64Mcg>,
}

impl World {
    pub(crate) fn any_vm(&self) -> usize {
        self.draw(0..self.addresses.len() as u64) as usize
    }

    /// Body of an order, by which the registries count its runs.
    pub(crate) fn body(order: u64) -> String {
        format!(r#"{{"award":{order}}}"#)
    }

    pub(crate) fn callers_of(&self, vm: usize) -> String {
        format!("http://{}", self.addresses[vm].callers)
    }

    pub(crate) fn draw(&self, range: Range<u64>) -> u64 {
        self.rng.borrow_mut().random_range(range)
    }

    pub(crate) fn incarnation(&self, vm: usize) -> u64 {
        self.incarnations.borrow()[vm]
    }

    pub(crate) fn is_over(&self) -> bool {
        self.is_over.get()
    }

    /// Times that the process was killed.
    pub(crate) fn kills(&self, vm: usize) -> u64 {
        self.kills.borrow()[vm]
    }

    pub(crate) fn next_order(&self) -> u64 {
        self.orders.replace(self.orders.get() + 1)
    }

    pub(crate) fn next_revision(&self) -> u64 {
        self.revisions.set(self.revisions.get() + 1);
        self.revisions.get()
    }

    pub(crate) fn operators_of(&self, vm: usize) -> String {
        format!("http://{}", self.addresses[vm].operators)
    }

    pub(crate) async fn pause(&self, millis: Range<u64>) {
        let pause = Duration::from_millis(self.draw(millis));
        actix_rt::time::sleep(pause).await;
    }

    pub(crate) fn regions(&self) -> BTreeMap<RegionId, Region> {
        self.regions.clone()
    }

    pub(crate) fn see(&self, event: Event) {
        self.history.borrow_mut().push(event);
    }
}

/// What a VM's process is doing.
enum State {
    Down { until: Instant },
    Ending { lasts: Duration },
    Paused { until: Instant },
    Running { stands: bool },
}

/// The upstreams before the VMs, each behind a relay.
struct Upstreams {
    registries: Vec<StandIn>,
    /// Each message makes the open connections of one upstream silent.
    silencers: Vec<UnboundedSender<()>>,
}

impl Upstreams {
    fn relayed(&mut self, upstream: &StandIn) -> StandIn {
        let (relay, silencer) = upstream.relayed();
        self.silencers.push(silencer);
        relay
    }

    fn engine(&mut self) -> StandIn {
        self.relayed(&StandIn::engine(EngineOptions {
            token: Duration::from_millis(30),
            ..EngineOptions::default()
        }))
    }

    fn registry(&mut self) -> StandIn {
        let registry = StandIn::registry();
        let relay = self.relayed(&registry);
        self.registries.push(registry);
        relay
    }
}

/// Plays a plan with real processes, and tells what was seen.
pub(crate) async fn run(plan: &Plan) -> History {
    let (mut fleet, upstreams) = fleet(plan).await;
    let regions = fleet.vms[0]
        .operate("GET", "/v1/operator/document", "")
        .await
        .json::<ebonystand_core::Document>()
        .regions;
    let world = Rc::new(World {
        addresses: fleet.vms.iter().map(|vm| vm.addresses).collect(),
        history: RefCell::new(History::new()),
        incarnations: RefCell::new(vec![0; plan.vms]),
        is_over: Cell::new(false),
        kills: RefCell::new(vec![0; plan.vms]),
        orders: Cell::new(0),
        regions,
        revisions: Cell::new(0),
        rng: RefCell::new(Pcg64Mcg::seed_from_u64(plan.seed)),
    });
    let mut tasks = Vec::new();
    for _ in 0..CALLERS {
        tasks.push(actix_rt::spawn(callers::call(Rc::clone(&world))));
    }
    for _ in 0..OPERATORS {
        tasks.push(actix_rt::spawn(operator::change(Rc::clone(&world))));
    }
    tasks.push(actix_rt::spawn(operator::watch(Rc::clone(&world))));
    strike(plan, &mut fleet, &upstreams, &world).await;
    world.is_over.set(true);
    for task in tasks {
        task.await.unwrap();
    }
    settle(&fleet, &world).await;
    count_runs(&upstreams, &world).await;
    world.history.replace(History::new())
}

async fn fleet(plan: &Plan) -> (Fleet, Upstreams) {
    let mut upstreams = Upstreams {
        registries: Vec::new(),
        silencers: Vec::new(),
    };
    let near = plan.vms.div_ceil(2).max(Plan::MEMBERS);
    let fleet = FleetBuilder::new()
        .region("utara", near)
        .engine_at(upstreams.engine())
        .engine_at(upstreams.engine())
        .registry_at(upstreams.registry())
        .region("selatan", plan.vms - near)
        .engine_at(upstreams.engine())
        .registry_at(upstreams.registry())
        .members(Plan::MEMBERS)
        .start()
        .await;
    (fleet, upstreams)
}

/// Carries out the plan's faults.
async fn strike(plan: &Plan, fleet: &mut Fleet, upstreams: &Upstreams, world: &World) {
    let started = Instant::now();
    let mut steps: VecDeque<&Step> = plan.steps.iter().collect();
    let mut silences: VecDeque<&Silence> = plan.silences.iter().collect();
    let mut states: Vec<State> = fleet
        .vms
        .iter()
        .map(|_| State::Running { stands: false })
        .collect();
    while started.elapsed() < plan.span {
        while let Some(step) = steps.pop_front_if(|step| step.at <= started.elapsed()) {
            begin(step, fleet, world, &mut states[step.vm]);
        }
        while let Some(silence) = silences.pop_front_if(|silence| silence.at <= started.elapsed()) {
            let upstream = silence.upstream;
            upstreams.silencers[upstream].send(()).unwrap();
            world.see(Event::Silenced { upstream });
        }
        let turn = (started.elapsed().as_millis() / TURN.as_millis()) as usize;
        for (vm, state) in states.iter_mut().enumerate() {
            let stands = plan
                .starved
                .is_some_and(|turns| !(turn + vm).is_multiple_of(turns as usize));
            go_on(vm, state, stands, fleet, world);
        }
        actix_rt::time::sleep(TICK).await;
    }
    for (vm, state) in states.iter_mut().enumerate() {
        while !matches!(state, State::Running { stands: false }) {
            if let State::Paused { until } | State::Down { until } = state {
                *until = Instant::now();
            }
            go_on(vm, state, false, fleet, world);
            actix_rt::time::sleep(TICK).await;
        }
    }
}

fn begin(step: &Step, fleet: &mut Fleet, world: &World, state: &mut State) {
    let State::Running { stands } = state else {
        return;
    };
    let vm = &mut fleet.vms[step.vm];
    let until = Instant::now() + step.lasts;
    if *stands && step.fault != Fault::Kill {
        vm.signal("CONT");
    }
    *state = match step.fault {
        Fault::Kill => {
            world.kills.borrow_mut()[step.vm] += 1;
            vm.kill();
            State::Down { until }
        }
        Fault::Pause => {
            vm.signal("STOP");
            State::Paused { until }
        }
        Fault::Reload => {
            vm.signal("HUP");
            State::Running { stands: false }
        }
        Fault::Terminate => {
            vm.signal("TERM");
            State::Ending { lasts: step.lasts }
        }
    };
    let fault = format!("{:?}", step.fault).into();
    world.see(Event::Struck { fault, vm: step.vm });
}

fn go_on(vm: usize, state: &mut State, should_stand: bool, fleet: &mut Fleet, world: &World) {
    let process = &mut fleet.vms[vm];
    let now = Instant::now();
    match state {
        State::Down { until } if now >= *until => {
            world.incarnations.borrow_mut()[vm] += 1;
            process.restart();
            *state = State::Running { stands: false };
        }
        State::Ending { lasts } if !process.running() => {
            let until = now + *lasts;
            process.kill();
            *state = State::Down { until };
        }
        State::Paused { until } if now >= *until => {
            process.signal("CONT");
            *state = State::Running { stands: false };
        }
        State::Running { stands } if *stands != should_stand => {
            process.signal(if should_stand { "STOP" } else { "CONT" });
            *stands = should_stand;
        }
        State::Down { .. }
        | State::Ending { .. }
        | State::Paused { .. }
        | State::Running { .. } => {}
    }
}

/// Waits until all VMs have one version, for [`SETTLES`] at most, and notes what each has.
async fn settle(fleet: &Fleet, world: &World) {
    let client = Client::default();
    let started = Instant::now();
    loop {
        let mut versions = Vec::new();
        for vm in 0..fleet.vms.len() {
            versions.push(
                operator::version(world, &client, vm)
                    .await
                    .unwrap_or_default(),
            );
        }
        let is_same = versions.iter().all(|version| *version == versions[0]);
        if is_same || started.elapsed() > SETTLES {
            for (vm, version) in versions.into_iter().enumerate() {
                world.see(Event::Settled { version, vm });
            }
            return;
        }
        actix_rt::time::sleep(Duration::from_millis(100)).await;
    }
}

async fn count_runs(upstreams: &Upstreams, world: &World) {
    let mut runs: BTreeMap<Box<str>, u64> = BTreeMap::new();
    for registry in &upstreams.registries {
        for (body, times) in registry.seen().await.runs {
            *runs.entry(body).or_default() += times;
        }
    }
    for order in 0..world.orders.get() {
        let times = runs.get(&*World::body(order)).copied().unwrap_or_default();
        world.see(Event::Ran(Ran { order, times }));
    }
}
