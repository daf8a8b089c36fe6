//! Fault matrix of once-only orders: each fault at each step, and each pair of those, with many
//! seeds each. Runs the product's journal and dispatch state machine.
//!
//! Requests for two orders arrive at two VMs while one order's record is pruned. The checks count
//! what reaches the upstream and know nothing of grants.

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

/// Declares an enum that is one axis of the matrix, and lists its variants in `ALL`, so that a new
/// variant adds its cells automatically.
macro_rules! axis {
    ($name:ident { $($variant:ident),* $(,)? }) => {
        #[derive(Clone, Copy, Debug, Eq, PartialEq)]
        enum $name { $($variant),* }

        impl $name {
            const ALL: &[Self] = &[$(Self::$variant),*];
        }
    };
}

axis!(Fault {
    Duplicate,
    Freeze,
    Kill,
    LateAnswer,
    Lose,
    Reorder
});
axis!(Step {
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
const LONG_DELAY: Duration = Duration::from_secs(15);

/// Scheduled event of the simulation.
#[derive(Clone)]
enum Event {
    Command(usize, OrderCommand),
    AnswerArrived(usize, OrderAnswer),
    Outcome(usize, OrderOutcome),
    Prune,
    Request(usize),
    Send(usize),
    Wake(usize),
}

/// Run of an order at the upstream, and the request that sent it.
struct Run {
    body: u8,
    by: usize,
    id: OrderId,
    in_time: bool,
}

/// Request at its VM; its state machine and tokens are lost when the process is killed.
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

/// Simulated VM. Events for it are lost while it is down and wait while it is frozen.
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
    /// Whether any process was killed; its requests need no reply.
    killed: bool,
    now: Duration,
    plan: Plan,
    requests: Vec<Request>,
    rng: Pcg64Mcg,
    /// Runs at the upstream, in order.
    runs: Vec<Run>,
    /// Number of events scheduled so far, which orders events at the same time.
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
            world.schedule(prune, Event::Prune);
        }
        world
    }

    /// Adds a request for one of two orders. The second order's key is newer, so that pruning may
    /// delete the first one. Some requests carry another body.
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
        self.schedule(at, Event::Request(i));
    }

    fn schedule(&mut self, wait: Duration, event: Event) {
        self.serial += 1;
        self.events.insert((self.now + wait, self.serial), event);
    }

    fn millis(&mut self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.rng.random_range(range))
    }

    fn send_over_network(&mut self, event: Event) {
        let wait = self.millis(1..60);
        self.schedule(wait, event);
    }

    /// Injects the next fault of the plan if it belongs to this step.
    fn inject_fault(&mut self, step: Step, vm: usize) {
        if self.plan.first().is_none_or(|(_, at)| *at != step) {
            return;
        }
        let (fault, _) = self.plan.remove(0);
        match fault {
            Fault::Freeze => self.vms[vm].frozen_until = self.now + LONG_DELAY,
            Fault::Kill => self.kill(vm),
            Fault::Duplicate | Fault::LateAnswer | Fault::Lose | Fault::Reorder => {
                self.disturb_messages(fault);
            }
        }
    }

    /// Drops, delays or duplicates the messages that are in flight.
    fn disturb_messages(&mut self, fault: Fault) {
        let is_in_flight = |event: &Event| matches!(event, Event::Command(..) | Event::Outcome(..));
        let keys = self.events.iter().filter(|(_, event)| is_in_flight(event));
        for key in keys.map(|(key, _)| *key).collect::<Vec<_>>() {
            let event = self.events[&key].clone();
            let wait = match fault {
                Fault::Duplicate => Some(self.millis(0..20_000)),
                Fault::LateAnswer => Some(LONG_DELAY),
                Fault::Reorder => Some(self.millis(0..3_000)),
                Fault::Freeze | Fault::Kill | Fault::Lose => None,
            };
            if fault != Fault::Duplicate {
                self.events.remove(&key);
            }
            if let Some(wait) = wait {
                self.schedule(wait, event);
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
                Event::AnswerArrived(i, _)
                | Event::Outcome(i, _)
                | Event::Request(i)
                | Event::Send(i)
                | Event::Wake(i) => Some(self.requests[*i].vm),
                _ => None,
            };
            match vm.map(|vm| &self.vms[vm]) {
                Some(vm) if vm.frozen_until > at => self.schedule(vm.frozen_until - at, event),
                Some(vm) if vm.down_until > at => {}
                _ => self.handle(event),
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Command(i, command) => self.apply(i, &command),
            Event::AnswerArrived(i, answer) => self.receive_answer(i, answer),
            Event::Outcome(i, outcome) => {
                self.drive(i, |order, now| order.handle_outcome(now, &outcome));
            }
            Event::Prune => {
                let floor = MINTED + 1;
                self.journal.apply(&OrderCommand::Prune { floor });
                let vm = self.rng.random_range(0..2);
                self.inject_fault(Step::Prune, vm);
            }
            Event::Request(i) => self.start_request(i),
            Event::Send(i) => self.send(i),
            Event::Wake(i) => self.drive(i, OrderDispatch::poll),
        }
    }

    /// Commits a command and restores the journal from a snapshot each time.
    fn apply(&mut self, i: usize, command: &OrderCommand) {
        let outcome = self.journal.apply(command);
        let bytes = postcard::to_stdvec(&self.journal).expect("a journal can be written");
        self.journal = postcard::from_bytes(&bytes).expect("and read");
        self.send_over_network(Event::Outcome(i, outcome));
        if matches!(command, OrderCommand::Grant { .. }) {
            self.inject_fault(Step::Grant, self.requests[i].vm);
        }
    }

    /// Calls the state machine of a request if its process is running, and performs the actions.
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
        if let Some(wake) = dispatch.poll_at().filter(|wake| *wake < HORIZON) {
            self.schedule(wake.saturating_sub(now), Event::Wake(i));
        }
        for action in actions {
            self.perform(i, action);
        }
    }

    fn perform(&mut self, i: usize, action: OrderAction) {
        let command = match action {
            OrderAction::Dispatch(permit) => {
                self.requests[i].permit = Some(permit);
                let wait = self.millis(0..100);
                return self.schedule(wait, Event::Send(i));
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
        self.send_over_network(Event::Command(i, command));
        if let Some(step) = step {
            self.inject_fault(step, self.requests[i].vm);
        }
    }

    fn start_request(&mut self, i: usize) {
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

    /// Uses the permit, or returns it as after a connection that couldn't be opened.
    fn send(&mut self, i: usize) {
        let Some(permit) = self.requests[i].permit.take() else {
            return;
        };
        if self.rng.random_bool(0.3) {
            let unsent = permit.return_unused();
            return self.drive(i, |order, now| order.record_unsent(now, unsent));
        }
        let sending = match permit.redeem(self.now) {
            Ok(sending) => sending,
            Err(unsent) => return self.drive(i, |order, now| order.record_unsent(now, unsent)),
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
        self.schedule(wait, Event::AnswerArrived(i, answer));
        self.inject_fault(Step::Dispatch, self.requests[i].vm);
    }

    /// Delivers the upstream's answer, or breaks the connection first.
    fn receive_answer(&mut self, i: usize, answer: OrderAnswer) {
        let Some(sending) = self.requests[i].sending.take() else {
            return;
        };
        if self.rng.random_bool(0.2) {
            return self.drive(i, |order, now| order.record_no_answer(now, sending));
        }
        self.drive(i, |dispatch, now| {
            dispatch.record_answer(now, sending, answer)
        });
    }

    /// Returns a description of the first violated guarantee.
    fn violated_promise(&self) -> Option<String> {
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
                    let is_own_answer = |(n, run): (usize, &Run)| {
                        run.id == req.id
                            && run.body == req.body
                            && answer.body == format!("{} {} {n}", run.id, run.body)
                    };
                    if !self.runs.iter().enumerate().any(is_own_answer) {
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

/// Runs one cell with all seeds. Returns the number of seeds in which all faults were injected.
fn run_cell(plan: &Plan) -> u64 {
    let mut struck = 0;
    for seed in 0..SEEDS {
        let mut world = World::new(plan.clone(), seed);
        world.run();
        if let Some(violation) = world.violated_promise() {
            panic!("cell {plan:?} seed {seed} (cargo test --test order_matrix): {violation}");
        }
        struck += u64::from(world.plan.is_empty());
    }
    struck
}

fn faults() -> impl Iterator<Item = (Fault, Step)> {
    let at = |fault| Step::ALL.iter().map(move |step| (fault, *step));
    Fault::ALL.iter().copied().flat_map(at)
}

/// A caller sends its order over two VMs again and again while one fault occurs at one step.
/// However the fault separates the grant, the request and the answer, the upstream must receive the
/// order at most once.
#[test]
fn a_fault_at_any_step_breaks_no_promise() {
    for fault in faults() {
        let struck = run_cell(&vec![fault]);
        println!("{fault:?}: struck in {struck} of {SEEDS} seeds");
        assert!(struck > 0, "{fault:?} never strikes");
    }
}

/// The same with a second fault at a later step, before the system has recovered from the first.
#[test]
fn a_second_fault_breaks_no_promise_either() {
    let plans = faults().flat_map(|first| faults().map(move |second| vec![first, second]));
    let struck: Vec<u64> = plans.map(|plan| run_cell(&plan)).collect();
    let reached = struck.iter().filter(|struck| **struck > 0).count();
    println!(
        "{} pairs, {reached} reached, {SEEDS} seeds each",
        struck.len()
    );
    assert_eq!(reached, struck.len());
}

/// Without a fault, every request must be settled before its deadline, whatever its callers and the
/// upstream do.
#[test]
fn without_a_fault_each_request_is_settled_in_time() {
    for seed in 0..SEEDS {
        let mut world = World::new(Plan::new(), seed);
        world.run();
        assert_eq!(world.violated_promise(), None, "seed {seed}");
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
