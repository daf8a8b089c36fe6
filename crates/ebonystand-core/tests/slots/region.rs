//! A region of VMs before engines, played without a network: callers, messages, engines and load reports.

use {super::*, std::rc::Rc};

pub const VMS: usize = 22;
pub const ENGINES: usize = 56;
pub const SLOTS: u32 = 12;
/// Time from the begin of a request's reading to its end, in milliseconds per 1,000 unread tokens.
const READING_MS_PER_1000: u64 = 5;
/// Target for the time to the first byte, in milliseconds.
const TARGET: u64 = 500;
/// Time within which a request must be sent, in milliseconds.
const BEGIN: u64 = 300;
/// Time for which a request waits at a VM that chooses by itself, in milliseconds.
const OWN_WAIT: u64 = 125;
const REPORT_INTERVAL: u64 = 100;
const REPORT_DELAY: u64 = 150;
const TICK: u64 = 10;
/// Time from which slots are counted, in milliseconds.
const FILLED: u64 = 3_000;

/// How VMs choose engines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Way {
    /// Each by itself, from load reports.
    Blind,
    Scheduled,
}

/// What goes wrong, in milliseconds of the play.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    None,
    /// A VM ends, with its callers, its scheduler and what it has asked.
    Killed {
        vm: usize,
        at: u64,
    },
    /// A VM handles no message for a while, and serves no callers.
    Frozen {
        vm: usize,
        from: u64,
        to: u64,
    },
    /// A VM's scheduler forgets everything.
    Restarted {
        vm: usize,
        at: u64,
    },
    /// Half of the VMs do not see this VM.
    Unseen {
        vm: usize,
    },
    /// So many messages of 1,000 are lost.
    Lost {
        permille: u32,
    },
    /// So many messages of 1,000 come twice.
    Doubled {
        permille: u32,
    },
    /// So many messages of 1,000 come after this time.
    Late {
        permille: u32,
        by: u64,
    },
    /// An engine is replaced; what runs there ends.
    Replaced {
        engine: usize,
        at: u64,
    },
    /// So many waiting callers of 1,000 leave 50 ms after they have come.
    Leaving {
        permille: u32,
    },
}

#[derive(Clone, Copy, Debug)]
pub struct Play {
    pub way: Way,
    pub fault: Fault,
    /// Slot time asked for, as a multiple of the slots.
    pub offered: f64,
    pub length: u64,
    /// Ranks of the callers, drawn evenly.
    pub ranks: &'static [u8],
    pub workspaces: usize,
    /// Times as much as each other one that the first workspace asks for.
    pub greed: u32,
    pub seed: u64,
}

impl Play {
    pub fn new(way: Way, offered: f64) -> Self {
        Self {
            way,
            fault: Fault::None,
            offered,
            length: 8_000,
            ranks: &[0],
            workspaces: 10,
            greed: 1,
            seed: 1,
        }
    }
}

#[derive(Clone, Copy, Debug)]
pub struct Caller {
    pub arrived: u64,
    pub hold: u64,
    pub rank: u8,
    pub unread: u64,
    pub vm: usize,
    pub workspace: usize,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    InTime,
    Late,
    Refused,
    /// Its VM or engine went down, or it left.
    Lost,
}

#[derive(Debug, Default)]
pub struct Report {
    pub callers: Vec<(Caller, End)>,
    pub messages: u64,
    /// Slots without a request for which a request waits, as a share of all.
    pub idle: f64,
    /// Requests that engines hold beyond their slots, as a share of all slots.
    pub over: f64,
    /// Grants and waiting requests that schedulers still know after all requests have ended.
    pub left: usize,
}

impl Report {
    pub fn share(&self, of: impl Fn(&Caller) -> bool) -> f64 {
        let all = self
            .callers
            .iter()
            .filter(|(caller, end)| of(caller) && *end != End::Lost);
        let (served, count) = all.fold((0.0, 0.0), |(served, count), (_, end)| {
            (
                served + f64::from(u8::from(*end == End::InTime)),
                count + 1.0,
            )
        });
        served / f64::max(count, 1.0)
    }

    pub fn count(&self, end: End) -> usize {
        self.callers
            .iter()
            .filter(|(_, other)| *other == end)
            .count()
    }

    /// Requests served in time, by workspace.
    pub fn served_by_workspace(&self, workspaces: usize) -> Vec<f64> {
        let share = |workspace| self.share(|caller| caller.workspace == workspace);
        (0..workspaces).map(share).collect()
    }

    pub fn messages_per_caller(&self) -> f64 {
        self.messages as f64 / self.callers.len() as f64
    }
}

#[derive(Clone, Debug)]
enum Event {
    Arrive,
    Deliver {
        from: usize,
        to: usize,
        message: SlotMessage,
    },
    Ended {
        engine: usize,
        caller: usize,
        life: u32,
    },
    Leave {
        caller: usize,
    },
    Return {
        vm: usize,
        grant: u32,
    },
    Report,
    Reported {
        loads: Vec<[UnderWay; ENGINES]>,
    },
    Tick,
}

#[derive(Clone, Debug)]
struct Vm {
    client: SlotClient,
    contention: SlotContention,
    /// Load of each engine by all VMs, as heard last.
    heard: [UnderWay; ENGINES],
    /// Own load as it was when the others told theirs.
    heard_own: [UnderWay; ENGINES],
    keys: Rc<[UpstreamKey]>,
    own: [UnderWay; ENGINES],
    plan: SlotPlan,
    scheduler: SlotScheduler,
    /// Callers that wait at this VM without a scheduler.
    waiting: VecDeque<usize>,
    asked: BTreeMap<u32, usize>,
}

#[derive(Clone, Debug, Default)]
struct Engine {
    running: BTreeSet<usize>,
    queue: VecDeque<usize>,
    read_until: u64,
    life: u32,
}

pub struct Region {
    play: Play,
    callers: Vec<(Caller, Option<End>)>,
    engines: Vec<Engine>,
    /// Engine and number of the grant of each caller that was sent.
    sent: BTreeMap<usize, (usize, Option<u32>)>,
    events: BTreeMap<(u64, u64), Event>,
    next_arrival: f64,
    next_event: u64,
    now: u64,
    rng: Pcg64Mcg,
    vms: Vec<Vm>,
    report: Report,
    samples: f64,
}

impl Region {
    pub fn play(play: Play) -> Report {
        let mut region = Self::new(play);
        region.add(0, Event::Arrive);
        region.add(0, Event::Report);
        region.add(0, Event::Tick);
        while let Some(((at, _), event)) = region.events.pop_first() {
            region.now = at;
            region.step(event);
        }
        let mut report = region.report;
        let ended = region.callers.into_iter();
        report.callers = ended
            .map(|(caller, end)| (caller, end.unwrap_or(End::Lost)))
            .collect();
        report.idle /= region.samples;
        report.over /= region.samples;
        let known = |vm: &Vm| vm.scheduler.granted() + vm.scheduler.waiting();
        report.left = region.vms.iter().map(known).sum();
        report
    }

    fn new(play: Play) -> Self {
        let all = region_vms(VMS);
        let keys: Rc<[UpstreamKey]> = (0..ENGINES).map(key).collect();
        let vms = (0..VMS).map(|vm| {
            let mut seen = all.clone();
            if let Fault::Unseen { vm: unseen } = play.fault
                && vm % 2 == 0
                && vm != unseen
            {
                seen.remove(unseen);
            }
            let plan = SlotPlan::new(&seen, &engines(ENGINES));
            let mut scheduler = SlotScheduler::default();
            scheduler.set_engines(&engines(ENGINES), &plan);
            Vm {
                client: SlotClient::new(vm as u32 * 1_000_000),
                contention: SlotContention::default(),
                heard: [UnderWay::default(); ENGINES],
                heard_own: [UnderWay::default(); ENGINES],
                keys: Rc::clone(&keys),
                own: [UnderWay::default(); ENGINES],
                plan,
                scheduler,
                waiting: VecDeque::new(),
                asked: BTreeMap::new(),
            }
        });
        Self {
            play,
            callers: Vec::new(),
            engines: vec![Engine::default(); ENGINES],
            sent: BTreeMap::new(),
            events: BTreeMap::new(),
            next_arrival: 0.0,
            next_event: 0,
            now: 0,
            rng: Pcg64Mcg::seed_from_u64(play.seed),
            vms: vms.collect(),
            report: Report::default(),
            samples: 0.0,
        }
    }

    fn add(&mut self, at: u64, event: Event) {
        self.next_event += 1;
        self.events.insert((at, self.next_event), event);
    }

    fn is_down(&self, vm: usize) -> bool {
        match self.play.fault {
            Fault::Killed { vm: down, at } => vm == down && self.now >= at,
            Fault::Frozen { vm: down, from, to } => vm == down && (from..to).contains(&self.now),
            _ => false,
        }
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Deliver { from, to, message } => self.deliver(from, to, message),
            Event::Ended {
                engine,
                caller,
                life,
            } => self.ended(engine, caller, life),
            Event::Leave { caller } => self.leave(caller),
            Event::Return { vm, grant } => {
                let outputs = self.vms[vm].client.end(grant);
                self.take(vm, outputs);
            }
            Event::Report => {
                let is_up = |vm: &usize| !self.is_down(*vm);
                let loads = (0..VMS).map(|vm| match is_up(&vm) {
                    true => self.vms[vm].own,
                    false => [UnderWay::default(); ENGINES],
                });
                let loads = loads.collect();
                self.add(self.now + REPORT_DELAY, Event::Reported { loads });
                if self.now < self.play.length + 4_000 {
                    self.add(self.now + REPORT_INTERVAL, Event::Report);
                }
            }
            Event::Reported { loads } => {
                for (index, vm) in self.vms.iter_mut().enumerate() {
                    vm.heard_own = loads[index];
                    for engine in 0..ENGINES {
                        let all = loads.iter().map(|of| of[engine]);
                        vm.heard[engine] = all.fold(UnderWay::default(), |sum, load| UnderWay {
                            requests: sum.requests + load.requests,
                            unread: sum.unread + load.unread,
                        });
                    }
                }
            }
            Event::Tick => self.tick(),
        }
    }

    fn arrive(&mut self) {
        let play = self.play;
        if self.now >= play.length {
            return;
        }
        let is_short = self.rng.random_bool(0.8);
        let hold = if is_short { 100 } else { 2_000 };
        let is_large = self.rng.random_bool(0.1);
        let unread = if is_large {
            5_000
        } else {
            self.rng.random_range(100..1_000)
        };
        let greedy = play.greed as usize;
        let drawn = self.rng.random_range(0..play.workspaces - 1 + greedy);
        let caller = Caller {
            arrived: self.now,
            hold,
            rank: play.ranks[self.rng.random_range(0..play.ranks.len())],
            unread,
            vm: self.rng.random_range(0..VMS),
            workspace: (drawn + 1).saturating_sub(greedy),
        };
        let number = self.callers.len();
        self.callers.push((caller, None));
        if let Fault::Leaving { permille } = play.fault
            && self.rng.random_range(0..1_000) < permille
        {
            self.add(self.now + 50, Event::Leave { caller: number });
        }
        if self.is_down(caller.vm) {
            self.callers[number].1 = Some(End::Lost);
        } else {
            self.choose(number);
        }
        // The mean request holds a slot for 480 ms.
        let per_ms = play.offered * f64::from(SLOTS) * ENGINES as f64 / 480.0;
        let gap = -self.rng.random_range(f64::EPSILON..1.0).ln() / per_ms;
        self.next_arrival += gap;
        self.add(self.next_arrival as u64, Event::Arrive);
    }

    fn choose(&mut self, number: usize) {
        let now = ms(self.now);
        let (caller, _) = self.callers[number];
        let load = self.loads(caller.vm);
        let vm = &mut self.vms[caller.vm];
        let pressure = SlotPressure {
            in_flight: load.iter().map(|load| load.requests.min(SLOTS)).sum(),
            slots: SLOTS * ENGINES as u32,
        };
        vm.contention.record_pressure(now, pressure);
        if self.play.way == Way::Scheduled && vm.contention.is_short(now) {
            let random = self.rng.random();
            if self.ask(number, random) {
                return;
            }
        }
        self.choose_blindly(number);
    }

    /// Load of the engines as a VM knows it.
    fn loads(&self, vm: usize) -> [UnderWay; ENGINES] {
        std::array::from_fn(|engine| known_load(&self.vms[vm], engine))
    }

    fn ask(&mut self, number: usize, random: u64) -> bool {
        let now = ms(self.now);
        let (caller, _) = self.callers[number];
        let load = self.loads(caller.vm);
        let keys = Rc::clone(&self.vms[caller.vm].keys);
        let mut ranked = (0..ENGINES).map(|engine| RankedEngine {
            cost: ms(u64::from(load[engine].requests) * 3),
            offer: SlotOffer {
                engine: keys[engine],
                unread: caller.unread,
            },
        });
        let mut ranked = ranked.by_ref().collect::<Vec<_>>();
        ranked.sort_by_key(|ranked| ranked.cost);
        let request = SlotRequest {
            begin_ms: (caller.arrived + BEGIN).saturating_sub(self.now) as u32,
            engines: Vec::new(),
            hold_ms: caller.hold as u32,
            rank: caller.rank,
            start_ms: 175,
            workspace: format!("workspace-{}", caller.workspace).as_str().into(),
        };
        let vm = &mut self.vms[caller.vm];
        let plan = vm.plan.clone();
        let Some((slot, output)) = vm.client.open(now, request, &ranked, &plan, random) else {
            return false;
        };
        vm.asked.insert(slot, number);
        self.take(caller.vm, vec![output]);
        true
    }

    fn choose_blindly(&mut self, number: usize) {
        let (caller, _) = self.callers[number];
        let load = self.loads(caller.vm);
        let own = caller.vm;
        let best = (0..ENGINES)
            .min_by_key(|engine| (load[*engine].requests, (engine * 31 + own * 17) % ENGINES));
        let best = best.unwrap_or_default();
        match load[best].requests < SLOTS {
            true => self.send(number, best, None),
            false => self.vms[own].waiting.push_back(number),
        }
    }

    fn send(&mut self, number: usize, engine: usize, grant: Option<u32>) {
        let (caller, _) = self.callers[number];
        let own = &mut self.vms[caller.vm].own[engine];
        own.requests += 1;
        own.unread += caller.unread;
        self.sent.insert(number, (engine, grant));
        self.engines[engine].queue.push_back(number);
        self.run(engine);
    }

    /// Begins the requests in an engine's queue that have a slot.
    fn run(&mut self, index: usize) {
        while self.engines[index].running.len() < SLOTS as usize {
            let engine = &mut self.engines[index];
            let Some(number) = engine.queue.pop_front() else {
                return;
            };
            engine.running.insert(number);
            let life = engine.life;
            let (caller, end) = &mut self.callers[number];
            let reading = caller.unread * READING_MS_PER_1000 / 1_000;
            engine.read_until = engine.read_until.max(self.now) + reading;
            let first_byte = engine.read_until;
            *end = Some(match first_byte - caller.arrived <= TARGET {
                true => End::InTime,
                false => End::Late,
            });
            let caller = *caller;
            let own = &mut self.vms[caller.vm].own[index];
            own.unread = own.unread.saturating_sub(caller.unread);
            let grant = self.sent.get(&number).and_then(|(_, grant)| *grant);
            if let Some(grant) = grant {
                let waited = ms(first_byte - self.now);
                let begun = self.vms[caller.vm].client.begin(grant, waited);
                self.take(caller.vm, begun.into_iter().collect());
            }
            let ended = Event::Ended {
                engine: index,
                caller: number,
                life,
            };
            self.add(first_byte + caller.hold, ended);
        }
    }

    fn ended(&mut self, engine: usize, number: usize, life: u32) {
        if self.engines[engine].life != life {
            return;
        }
        self.engines[engine].running.remove(&number);
        self.close(number);
        self.run(engine);
        for vm in 0..VMS {
            self.advance(vm);
        }
    }

    /// Ends a request at its VM.
    fn close(&mut self, number: usize) {
        let (caller, _) = self.callers[number];
        let Some((engine, grant)) = self.sent.remove(&number) else {
            return;
        };
        let own = &mut self.vms[caller.vm].own[engine];
        own.requests = own.requests.saturating_sub(1);
        let Some(grant) = grant else {
            return;
        };
        // A VM that hangs returns the slot afterwards.
        let until = match self.play.fault {
            Fault::Frozen { to, .. } if self.is_down(caller.vm) => to,
            _ => self.now,
        };
        if until > self.now || !self.is_down(caller.vm) {
            let vm = caller.vm;
            self.add(until, Event::Return { vm, grant });
        }
    }

    /// Lets the callers that wait at a VM go on if there is room, or refuses them.
    fn advance(&mut self, vm: usize) {
        while let Some(number) = self.vms[vm].waiting.front().copied() {
            let (caller, _) = self.callers[number];
            let is_over = self.now > caller.arrived + OWN_WAIT;
            let load = self.loads(vm);
            let has_room = load.iter().any(|load| load.requests < SLOTS);
            if is_over || has_room || self.is_down(vm) {
                self.vms[vm].waiting.pop_front();
            }
            match () {
                () if self.is_down(vm) => self.callers[number].1 = Some(End::Lost),
                () if is_over => self.callers[number].1 = Some(End::Refused),
                () if has_room => self.choose(number),
                () => return,
            }
        }
    }

    fn leave(&mut self, number: usize) {
        let (caller, _) = self.callers[number];
        let asked = self.vms[caller.vm].asked.iter();
        let slot = asked
            .filter(|(_, of)| **of == number)
            .map(|(slot, _)| *slot)
            .next();
        if let Some(slot) = slot {
            self.vms[caller.vm].asked.remove(&slot);
            self.callers[number].1 = Some(End::Lost);
            let outputs = self.vms[caller.vm].client.end(slot);
            self.take(caller.vm, outputs);
        }
    }

    fn deliver(&mut self, from: usize, to: usize, message: SlotMessage) {
        if self.is_down(to) {
            if let Fault::Frozen { to: until, .. } = self.play.fault {
                self.add(until, Event::Deliver { from, to, message });
            }
            return;
        }
        let now = ms(self.now);
        let outputs = match message.is_for_scheduler() {
            true => self.schedule(to, |scheduler, load| {
                scheduler.handle_message(now, &name(from), message, load)
            }),
            false => {
                let client = &mut self.vms[to].client;
                client.handle_message(now, &name(from), &message)
            }
        };
        self.take(to, outputs);
    }

    /// Calls the scheduler of a VM with the load that the VM knows.
    fn schedule(
        &mut self,
        vm: usize,
        call: impl FnOnce(&mut SlotScheduler, &dyn Fn(UpstreamKey) -> UnderWay) -> Vec<SlotOutput>,
    ) -> Vec<SlotOutput> {
        let vm = &mut self.vms[vm];
        let mut scheduler = std::mem::take(&mut vm.scheduler);
        let outputs = call(&mut scheduler, &|engine| {
            let index = vm.keys.iter().position(|key| *key == engine);
            index.map_or_else(UnderWay::default, |index| known_load(vm, index))
        });
        vm.scheduler = scheduler;
        outputs
    }

    fn take(&mut self, vm: usize, outputs: Vec<SlotOutput>) {
        for output in outputs {
            match output {
                SlotOutput::Send { message, to } => self.post(vm, &to, message),
                SlotOutput::Decide { decision, number } => self.decide(vm, number, decision),
            }
        }
    }

    fn post(&mut self, from: usize, to: &VmId, message: SlotMessage) {
        let to = to
            .strip_prefix("vm-")
            .and_then(|to| to.parse().ok())
            .expect("a VM");
        if from == to {
            self.add(self.now, Event::Deliver { from, to, message });
            return;
        }
        self.report.messages += 1;
        let drawn = self.rng.random_range(0..1_000);
        let mut at = self.now + self.rng.random_range(1..4);
        match self.play.fault {
            Fault::Lost { permille } if drawn < permille => return,
            Fault::Doubled { permille } if drawn < permille => {
                let message = message.clone();
                self.add(at + 30, Event::Deliver { from, to, message });
            }
            Fault::Late { permille, by } if drawn < permille => at += by,
            _ => {}
        }
        self.add(at, Event::Deliver { from, to, message });
    }

    fn decide(&mut self, vm: usize, slot: u32, decision: SlotDecision) {
        let Some(number) = self.vms[vm].asked.remove(&slot) else {
            return;
        };
        match decision {
            SlotDecision::Granted { engine } => {
                let keys = &self.vms[vm].keys;
                let engine = keys.iter().position(|other| *other == engine);
                self.send(number, engine.expect("a known engine"), Some(slot));
            }
            SlotDecision::Refused { .. } => self.callers[number].1 = Some(End::Refused),
            SlotDecision::Unscheduled => self.choose_blindly(number),
        }
    }

    fn tick(&mut self) {
        let now = ms(self.now);
        for vm in 0..VMS {
            if self.is_down(vm) {
                continue;
            }
            match self.play.fault {
                Fault::Restarted { vm: restarted, at } if vm == restarted && at == self.now => {
                    let mut scheduler = SlotScheduler::default();
                    scheduler.set_engines(&engines(ENGINES), &self.vms[vm].plan);
                    self.vms[vm].scheduler = scheduler;
                }
                _ => {}
            }
            let mut outputs = self.vms[vm].client.tick(now);
            outputs.append(&mut self.schedule(vm, |scheduler, load| scheduler.tick(now, load)));
            self.take(vm, outputs);
            self.advance(vm);
        }
        match self.play.fault {
            Fault::Killed { vm, at } if at == self.now => self.kill(vm),
            Fault::Replaced { engine, at } if at == self.now => self.replace(engine),
            _ => {}
        }
        self.sample();
        if self.now < self.play.length + 4_000 {
            self.add(self.now + TICK, Event::Tick);
        }
    }

    fn kill(&mut self, vm: usize) {
        for (caller, end) in &mut self.callers {
            if caller.vm == vm && end.is_none() {
                *end = Some(End::Lost);
            }
        }
        self.vms[vm].scheduler = SlotScheduler::default();
        self.vms[vm].client = SlotClient::new(0);
        let sent = self
            .sent
            .keys()
            .copied()
            .filter(|number| self.callers[*number].0.vm == vm);
        for number in sent.collect::<Vec<_>>() {
            if let Some((engine, _)) = self.sent.remove(&number) {
                self.engines[engine].running.remove(&number);
                self.engines[engine].queue.retain(|other| *other != number);
            }
        }
        self.vms[vm].own = [UnderWay::default(); ENGINES];
    }

    fn replace(&mut self, index: usize) {
        let engine = &mut self.engines[index];
        engine.life += 1;
        let ended = std::mem::take(&mut engine.running)
            .into_iter()
            .chain(std::mem::take(&mut engine.queue));
        for number in ended.collect::<Vec<_>>() {
            self.callers[number].1 = Some(End::Lost);
            self.close(number);
        }
    }

    fn sample(&mut self) {
        let running = self
            .engines
            .iter()
            .map(|engine| engine.running.len())
            .sum::<usize>();
        let over = self
            .engines
            .iter()
            .map(|engine| engine.queue.len())
            .sum::<usize>();
        let waiting = self
            .vms
            .iter()
            .map(|vm| vm.waiting.len() + vm.scheduler.waiting());
        let waiting = waiting.sum::<usize>() + over;
        let slots = f64::from(SLOTS) * ENGINES as f64;
        // The load begins at once; the first seconds fill the slots.
        if (FILLED..self.play.length).contains(&self.now) {
            self.samples += 1.0;
            self.report.over += over as f64 / slots;
            if waiting > 0 {
                let idle = slots - running as f64;
                self.report.idle += f64::min(idle, waiting as f64) / slots;
            }
        }
    }
}

fn known_load(vm: &Vm, engine: usize) -> UnderWay {
    let (heard, before, own) = (vm.heard[engine], vm.heard_own[engine], vm.own[engine]);
    UnderWay {
        requests: heard.requests - before.requests + own.requests,
        unread: heard.unread - before.unread + own.unread,
    }
}
