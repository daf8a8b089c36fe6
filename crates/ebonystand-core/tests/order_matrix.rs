//! Fault matrix of once-only orders: each fault at each step, and each pair of both with a second
//! one behind it, over the product's journal and dispatch machine, many seeds each.
//!
//! Requests for two orders come in over two VMs while one order's record is pruned. The observer
//! counts what reaches the upstream, and knows nothing of grants.

use {
    ebonystand_core::{
        BodyHash, InFlightOrder, OrderAction, OrderAnswer, OrderCommand, OrderDispatch,
        OrderHolderSource, OrderId, OrderJournal, OrderLimits, OrderOutcome, OrderPermit,
        OrderReply, OrderRequest, RefusalCode, RunState,
    },
    rand::{Rng, RngExt, SeedableRng},
    rand_pcg::Pcg64Mcg,
    std::{collections::BTreeMap, time::Duration},
};

/// An enum whose variants make up a side of the matrix: a new one adds its cells by itself.
macro_rules! side {
    ($name:ident { $($variant:ident),* $(,)? }) => {
        #[derive(Clone, Copy, Debug, Eq, PartialEq)]
        enum $name { $($variant),* }

        impl $name {
            const ALL: &[Self] = &[$(Self::$variant),*];
        }
    };
}

side!(Fault {
    Duplicate,
    Freeze,
    Kill,
    LateAnswer,
    Lose,
    Reorder
});
side!(Step {
    Abandon,
    Answer,
    Ask,
    Dispatch,
    Grant,
    Prune
});

type Plan = Vec<(Fault, Step)>;

const MINTED: u64 = 1_796_253_227;
const SEEDS: u64 = 60;
const HORIZON: Duration = Duration::from_secs(240);
const LONG: Duration = Duration::from_secs(15);

/// Something that happens later.
#[derive(Clone)]
enum Event {
    Command(usize, OrderCommand),
    Heard(usize, OrderAnswer),
    Outcome(usize, OrderOutcome),
    Prune,
    Request(usize),
    Send(usize),
    Wake(usize),
}

/// What the upstream saw, and which request sent it.
struct Run {
    body: u8,
    by: usize,
    id: OrderId,
    in_time: bool,
}

/// A request at its VM; gone once its process is killed.
struct Request {
    body: u8,
    dispatch: Option<OrderDispatch>,
    dispatch_by: Duration,
    id: OrderId,
    permit: Option<OrderPermit>,
    replies: Vec<OrderReply>,
    sending: Option<InFlightOrder>,
    vm: usize,
}

/// A VM; what reaches it while it is down is lost, and while it is frozen waits.
struct Vm {
    down_until: Duration,
    frozen_until: Duration,
    holders: OrderHolderSource,
}

impl Vm {
    fn new(name: &str, incarnation: u64, down_until: Duration) -> Self {
        Self {
            down_until,
            frozen_until: Duration::ZERO,
            holders: OrderHolderSource::new(name.into(), incarnation),
        }
    }
}

struct World {
    events: BTreeMap<(Duration, u64), Event>,
    journal: OrderJournal,
    killed: bool,
    now: Duration,
    plan: Plan,
    requests: Vec<Request>,
    rng: Pcg64Mcg,
    /// What the upstream ran, in its order.
    runs: Vec<Run>,
    serial: u64,
    vms: [Vm; 2],
}

impl World {
    fn new(plan: Plan, seed: u64) -> Self {
        let limits = OrderLimits {
            retention: Duration::ZERO,
            ..OrderLimits::default()
        };
        let mut world = Self {
            events: BTreeMap::new(),
            journal: OrderJournal::new(limits, 0),
            killed: false,
            now: Duration::ZERO,
            plan,
            requests: Vec::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            runs: Vec::new(),
            serial: 0,
            vms: ["a", "b"].map(|vm| Vm::new(vm, seed, Duration::ZERO)),
        };
        (0..10).for_each(|i| world.add_request(i));
        for _ in 0..2 {
            let prune = world.millis(4_000..20_000);
            world.after(prune, Event::Prune);
        }
        world
    }

    /// Requests for two orders; the second key is newer, so that pruning may forget the first.
    /// Now and then a request brings another body.
    fn add_request(&mut self, i: usize) {
        let order = u64::from(self.rng.random_bool(0.3));
        self.requests.push(Request {
            body: u8::from(self.rng.random_bool(0.15)),
            dispatch: None,
            dispatch_by: Duration::ZERO,
            id: OrderId {
                key: format!("{}-order", MINTED + order).into(),
                workspace: "w".into(),
            },
            permit: None,
            replies: Vec::new(),
            sending: None,
            vm: self.rng.random_range(0..2),
        });
        let at = self.millis(0..15_000);
        self.after(at, Event::Request(i));
    }

    fn after(&mut self, wait: Duration, event: Event) {
        self.serial += 1;
        self.events.insert((self.now + wait, self.serial), event);
    }

    fn millis(&mut self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.rng.random_range(range))
    }

    fn network(&mut self, event: Event) {
        let wait = self.millis(1..60);
        self.after(wait, event);
    }

    /// Injects the next fault of the plan if this is its step.
    fn at(&mut self, step: Step, vm: usize) {
        if self.plan.first().is_none_or(|(_, at)| *at != step) {
            return;
        }
        let (fault, _) = self.plan.remove(0);
        match fault {
            Fault::Freeze => self.vms[vm].frozen_until = self.now + LONG,
            Fault::Kill => self.kill(vm),
            Fault::Duplicate | Fault::LateAnswer | Fault::Lose | Fault::Reorder => {
                self.disturb(fault);
            }
        }
    }

    /// Changes what is on the network right now.
    fn disturb(&mut self, fault: Fault) {
        let on_way = |event: &Event| matches!(event, Event::Command(..) | Event::Outcome(..));
        let keys = self.events.iter().filter(|(_, event)| on_way(event));
        for key in keys.map(|(key, _)| *key).collect::<Vec<_>>() {
            let event = self.events[&key].clone();
            let wait = match fault {
                Fault::Duplicate => Some(self.millis(0..20_000)),
                Fault::LateAnswer => Some(LONG),
                Fault::Reorder => Some(self.millis(0..3_000)),
                Fault::Freeze | Fault::Kill | Fault::Lose => None,
            };
            if fault != Fault::Duplicate {
                self.events.remove(&key);
            }
            if let Some(wait) = wait {
                self.after(wait, event);
            }
        }
    }

    fn kill(&mut self, vm: usize) {
        self.killed = true;
        let up_at = self.now + Duration::from_millis(300);
        self.vms[vm] = Vm::new(["a", "b"][vm], self.rng.next_u64(), up_at);
        for req in self.requests.iter_mut().filter(|req| req.vm == vm) {
            (req.dispatch, req.permit, req.sending) = (None, None, None);
        }
    }

    fn run(&mut self) {
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at > HORIZON {
                return;
            }
            self.now = at;
            let vm = match &event {
                Event::Heard(i, _)
                | Event::Outcome(i, _)
                | Event::Request(i)
                | Event::Send(i)
                | Event::Wake(i) => Some(self.requests[*i].vm),
                _ => None,
            };
            match vm.map(|vm| &self.vms[vm]) {
                Some(vm) if vm.frozen_until > at => self.after(vm.frozen_until - at, event),
                Some(vm) if vm.down_until > at => {}
                _ => self.happen(event),
            }
        }
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Command(i, command) => self.apply(i, &command),
            Event::Heard(i, answer) => self.heard(i, answer),
            Event::Outcome(i, outcome) => {
                self.drive(i, |dispatch, now| dispatch.handle_outcome(now, &outcome));
            }
            Event::Prune => {
                let floor = MINTED + 1;
                self.journal.apply(&OrderCommand::Prune { floor });
                let vm = self.rng.random_range(0..2);
                self.at(Step::Prune, vm);
            }
            Event::Request(i) => self.request(i),
            Event::Send(i) => self.send(i),
            Event::Wake(i) => self.drive(i, OrderDispatch::poll),
        }
    }

    /// The journal's group commits a command; its state goes through a snapshot each time.
    fn apply(&mut self, i: usize, command: &OrderCommand) {
        let outcome = self.journal.apply(command);
        let bytes = postcard::to_stdvec(&self.journal).expect("a journal can be written");
        self.journal = postcard::from_bytes(&bytes).expect("and read");
        self.network(Event::Outcome(i, outcome));
        if matches!(command, OrderCommand::Grant { .. }) {
            self.at(Step::Grant, self.requests[i].vm);
        }
    }

    /// Calls a request's machine, if its process lives, and does what it asks for.
    fn drive(
        &mut self,
        i: usize,
        call: impl FnOnce(&mut OrderDispatch, Duration) -> Vec<OrderAction>,
    ) {
        let (now, req) = (self.now, &mut self.requests[i]);
        let Some(dispatch) = &mut req.dispatch else {
            return;
        };
        let actions = call(dispatch, now);
        if let Some(wake) = dispatch.next_poll().filter(|wake| *wake < HORIZON) {
            self.after(wake.saturating_sub(now), Event::Wake(i));
        }
        for action in actions {
            self.act(i, action);
        }
    }

    fn act(&mut self, i: usize, action: OrderAction) {
        let command = match action {
            OrderAction::Dispatch(permit) => {
                self.requests[i].permit = Some(permit);
                let wait = self.millis(0..100);
                return self.after(wait, Event::Send(i));
            }
            OrderAction::Propose(command) => command,
            OrderAction::Reply(reply) => return self.requests[i].replies.push(reply),
        };
        let step = match command {
            OrderCommand::Abandon { .. } => Some(Step::Abandon),
            OrderCommand::Answer { .. } => Some(Step::Answer),
            OrderCommand::Grant { .. } => Some(Step::Ask),
            OrderCommand::MarkUnknown { .. } | OrderCommand::Prune { .. } => None,
        };
        self.network(Event::Command(i, command));
        if let Some(step) = step {
            self.at(step, self.requests[i].vm);
        }
    }

    fn request(&mut self, i: usize) {
        let req = &mut self.requests[i];
        req.dispatch_by = self.now + Duration::from_secs(2);
        let order = OrderRequest {
            received_at: MINTED,
            body_hash: BodyHash::from_request("POST", "/orders", &[req.body]),
            dispatch_by: req.dispatch_by,
            id: req.id.clone(),
            reply_by: self.now + Duration::from_secs(5),
        };
        let holder = self.vms[req.vm].holders.next_holder();
        let dispatch = OrderDispatch::new(order, holder, &OrderLimits::default());
        req.dispatch = Some(dispatch.expect("the key is well formed"));
        self.drive(i, OrderDispatch::poll);
    }

    /// Uses the permit, or gives it back as after a connection that could not be opened.
    fn send(&mut self, i: usize) {
        let Some(permit) = self.requests[i].permit.take() else {
            return;
        };
        if self.rng.random_bool(0.3) {
            let unsent = permit.return_unused();
            return self.drive(i, |dispatch, now| dispatch.record_unsent(now, unsent));
        }
        let sending = match permit.redeem(self.now) {
            Ok(sending) => sending,
            Err(unsent) => {
                return self.drive(i, |dispatch, now| dispatch.record_unsent(now, unsent));
            }
        };
        self.requests[i].sending = Some(sending);
        let (id, body) = (self.requests[i].id.clone(), self.requests[i].body);
        let in_time = self.now < self.requests[i].dispatch_by;
        let answer = OrderAnswer {
            body: format!("{id} {body} {}", self.runs.len()).into(),
            content_type: "text/plain".into(),
            status: 200,
        };
        self.runs.push(Run {
            body,
            by: i,
            id,
            in_time,
        });
        let wait = self.millis(1..2_000);
        self.after(wait, Event::Heard(i, answer));
        self.at(Step::Dispatch, self.requests[i].vm);
    }

    /// The upstream's answer arrives, or its connection breaks first.
    fn heard(&mut self, i: usize, answer: OrderAnswer) {
        let Some(sending) = self.requests[i].sending.take() else {
            return;
        };
        if self.rng.random_bool(0.2) {
            return self.drive(i, |dispatch, now| dispatch.record_no_answer(now, sending));
        }
        self.drive(i, |dispatch, now| {
            dispatch.record_answer(now, sending, answer)
        });
    }

    /// The first broken promise.
    fn broken(&self) -> Option<String> {
        let runs_of = |id: &OrderId| self.runs.iter().filter(|run| run.id == *id).count();
        if self.runs.iter().any(|run| !run.in_time) {
            return Some("an order was sent after its time".into());
        }
        for (i, req) in self.requests.iter().enumerate() {
            if runs_of(&req.id) > 1 {
                return Some(format!("{} ran more than once", req.id));
            }
            if req.replies.len() > 1 {
                return Some(format!("request {i} got {} replies", req.replies.len()));
            }
            match req.replies.first() {
                Some(OrderReply::Answer { answer, .. }) => {
                    let told = |(n, run): (usize, &Run)| {
                        run.id == req.id
                            && run.body == req.body
                            && answer.body == format!("{} {} {n}", run.id, run.body)
                    };
                    if !self.runs.iter().enumerate().any(told) {
                        return Some(format!("request {i} got another one's answer"));
                    }
                }
                Some(OrderReply::Refusal(refusal)) if refusal.run == RunState::NotRun => {
                    if self.runs.iter().any(|run| run.by == i) {
                        return Some(format!("request {i} ran and was told `{refusal}`"));
                    }
                }
                Some(OrderReply::Refusal(_)) => {}
                None if self.killed => {}
                None => return Some(format!("request {i} got no reply")),
            }
        }
        None
    }
}

/// Runs one cell over all seeds; in how many the faults struck.
fn cell(plan: &Plan) -> u64 {
    let mut struck = 0;
    for seed in 0..SEEDS {
        let mut world = World::new(plan.clone(), seed);
        world.run();
        if let Some(broken) = world.broken() {
            panic!("cell {plan:?} seed {seed} (cargo test --test order_matrix): {broken}");
        }
        struck += u64::from(world.plan.is_empty());
    }
    struck
}

fn faults() -> impl Iterator<Item = (Fault, Step)> {
    let at = |fault| Step::ALL.iter().map(move |step| (fault, *step));
    Fault::ALL.iter().copied().flat_map(at)
}

/// A caller sends its order over two VMs, again and again, while one fault strikes at one step.
/// However the grant, the sending and the answer are cut apart, the upstream sees it once.
#[test]
fn a_fault_at_any_step_breaks_no_promise() {
    for fault in faults() {
        let struck = cell(&vec![fault]);
        println!("{fault:?}: struck in {struck} of {SEEDS} seeds");
        assert!(struck > 0, "{fault:?} never strikes");
    }
}

/// The same with a second fault at a later step, before what the first one upset has settled.
#[test]
fn a_second_fault_breaks_no_promise_either() {
    let plans = faults().flat_map(|first| faults().map(move |second| vec![first, second]));
    let struck: Vec<u64> = plans.map(|plan| cell(&plan)).collect();
    let reached = struck.iter().filter(|struck| **struck > 0).count();
    println!(
        "{} pairs, {reached} reached, {SEEDS} seeds each",
        struck.len()
    );
    assert_eq!(reached, struck.len());
}

/// Without a fault no request waits out its time, whatever its callers and upstream do.
#[test]
fn without_a_fault_each_request_is_settled_in_time() {
    for seed in 0..SEEDS {
        let mut world = World::new(Plan::new(), seed);
        world.run();
        assert_eq!(world.broken(), None, "seed {seed}");
        let late = |reply: &OrderReply| {
            matches!(reply, OrderReply::Refusal(refusal)
                if refusal.code == RefusalCode::Deadline && refusal.run == RunState::Unknown)
        };
        assert!(
            !world
                .requests
                .iter()
                .any(|req| req.replies.iter().any(late))
        );
    }
}
