use super::*;
use {
    call::Call,
    ebonystand_core::{
        ChoiceQuery, Mechanism, RankedEngine, RegionVm, SlotClient, SlotContention, SlotDecision,
        SlotEngine, SlotMessage, SlotOutput, SlotPlan, SlotRequest, SlotScheduler, TargetChoice,
        UpstreamBook, UpstreamKey, WorkspaceKey,
    },
    node::Node,
    std::collections::{BTreeSet, VecDeque},
};

/// Holds this VM's side of the scheduling of slots: what it asks for, and what it grants to others.
pub(crate) struct SlotController {
    busy: tokio::sync::Notify,
    client: RefCell<SlotClient>,
    contention: RefCell<FxHashMap<ServiceId, Look>>,
    engines: RefCell<Vec<SlotEngine>>,
    plan: RefCell<Rc<SlotPlan>>,
    scheduler: RefCell<SlotScheduler>,
    vms: RefCell<Vec<RegionVm>>,
    waiting: RefCell<FxHashMap<u32, oneshot::Sender<SlotDecision>>>,
}

/// Whether room of a service is short, and when that is looked at again.
#[derive(Clone, Copy, Default)]
struct Look {
    contention: SlotContention,
    next: Duration,
}

impl SlotController {
    /// Time between two looks at the load of a service.
    const LOOK_INTERVAL: Duration = Duration::from_millis(20);
    /// Time between two looks at what waits.
    const TICK: Duration = Duration::from_millis(10);
    /// Share of the first-byte target, in permille, within which a request must be sent. The rest is for the
    /// reading of the prompt and the network.
    const BEGIN_PERMILLE: u32 = 600;
    /// Share of the first-byte target, in permille, within which an answer should begin at its engine.
    const START_PERMILLE: u32 = 350;

    pub(crate) fn new(seed: u64) -> Self {
        Self {
            busy: tokio::sync::Notify::new(),
            client: RefCell::new(SlotClient::new(seed as u32)),
            contention: RefCell::default(),
            engines: RefCell::default(),
            plan: RefCell::default(),
            scheduler: RefCell::default(),
            vms: RefCell::default(),
            waiting: RefCell::default(),
        }
    }

    /// Asks for a slot if room is short and the VM would send the request to an engine of its region. Returns
    /// the number of the request and where its decision arrives.
    pub(crate) fn ask(
        &self,
        node: &Rc<Node>,
        call: &Call,
        choice: &TargetChoice,
    ) -> Option<(u32, oneshot::Receiver<SlotDecision>)> {
        let is_local = matches!(
            choice,
            TargetChoice::NoRoom { .. } | TargetChoice::Upstream { is_sound: true, .. }
        );
        if !is_local || call.prompt.is_none() {
            return None;
        }
        let now = node.clock.now();
        let (request, engines) = {
            let document = node.document();
            let none = BTreeSet::new();
            let query = call.query(node, &document, &none);
            let book = node.gateway.book.borrow();
            if query.engine.is_none() || !self.is_short(now, &book, &query) {
                return None;
            }
            let engines = book.rank_engines(now, &query);
            (Self::request(now, call, &book, &query, &engines)?, engines)
        };
        let plan = Rc::clone(&self.plan.borrow());
        let random = node.gateway.draw();
        let opened = self
            .client
            .borrow_mut()
            .open(now, request, &engines, &plan, random);
        let (number, output) = opened?;
        let (tx, rx) = oneshot::channel();
        self.waiting.borrow_mut().insert(number, tx);
        Self::take(node, vec![output]);
        self.busy.notify_one();
        Some((number, rx))
    }

    /// Tells the scheduler that the answer of a granted request has begun.
    pub(crate) fn begin(node: &Rc<Node>, number: u32, waited: Duration) {
        let output = node.gateway.slots.client.borrow_mut().begin(number, waited);
        Self::take(node, output.into_iter().collect());
    }

    /// Returns a slot, or ends the wait for it.
    pub(crate) fn end(node: &Rc<Node>, number: u32) {
        let this = &node.gateway.slots;
        this.waiting.borrow_mut().remove(&number);
        let outputs = this.client.borrow_mut().end(number);
        Self::take(node, outputs);
    }

    pub(crate) fn receive(node: &Rc<Node>, from: &VmId, message: SlotMessage) {
        let outputs = node.gateway.slots.handle(node, from, message);
        Self::take(node, outputs);
        node.gateway.slots.busy.notify_one();
    }

    /// Lets time pass until the task is dropped.
    pub(crate) async fn run(node: Rc<Node>) {
        let this = &node.gateway.slots;
        loop {
            if this.client.borrow().is_idle() && this.scheduler.borrow().is_idle() {
                this.busy.notified().await;
            }
            actix_rt::time::sleep(Self::TICK).await;
            let now = node.clock.now();
            let mut outputs = this.client.borrow_mut().tick(now);
            let load = |engine| node.gateway.book.borrow().known_load(engine);
            outputs.append(&mut this.scheduler.borrow_mut().tick(now, &load));
            Self::take(&node, outputs);
            let waiting = this.scheduler.borrow().waiting();
            node.metrics.slot_waiting.set(waiting as i64);
        }
    }

    /// Returns the scheduler that has granted a request of this VM a slot.
    pub(crate) fn scheduler(&self, number: u32) -> Option<VmId> {
        self.client.borrow().holder(number).cloned()
    }

    /// Replaces the live VMs of the region.
    pub(crate) fn set_vms(&self, now: Duration, vms: Vec<RegionVm>) {
        let live = vms.iter().map(|vm| vm.vm.clone()).collect();
        self.scheduler.borrow_mut().set_vms(now, &live);
        self.vms.replace(vms);
        self.plan_anew();
    }

    /// Chooses the schedulers anew if the engines of the region have changed.
    pub(crate) fn update_engines(&self, node: &Node) {
        let table = node.gateway.table();
        let is_engine = |service: &str| {
            let service = table.service(service);
            service.is_some_and(|service| service.engine.is_some())
        };
        let engines = node.gateway.book.borrow().slot_engines(is_engine);
        if *self.engines.borrow() != engines {
            self.engines.replace(engines);
            self.plan_anew();
        }
    }

    /// Returns the number of requests of this VM that wait for a slot.
    pub(crate) fn waiting(&self) -> usize {
        self.client.borrow().waiting()
    }

    fn plan_anew(&self) {
        let engines = self.engines.borrow();
        let plan = SlotPlan::new(&self.vms.borrow(), &engines);
        self.scheduler.borrow_mut().set_engines(&engines, &plan);
        self.plan.replace(Rc::new(plan));
    }

    /// Returns whether the slots of the request's service are short. In a small region each VM tells all others its
    /// load, and engines are not chosen by so many VMs at once.
    fn is_short(&self, now: Duration, book: &UpstreamBook, query: &ChoiceQuery) -> bool {
        if book.is_direct() || !book.is_enabled(Mechanism::Slots) {
            return false;
        }
        let mut looks = self.contention.borrow_mut();
        let look = looks.entry(query.service.into()).or_default();
        if now >= look.next {
            look.next = now + Self::LOOK_INTERVAL;
            let pressure = book.slot_pressure(now, query);
            look.contention.record_pressure(now, pressure);
        }
        look.contention.is_short(now)
    }

    /// Builds the request for a slot; `None` if the call could not be sent in time even if it got one at once.
    fn request(
        now: Duration,
        call: &Call,
        book: &UpstreamBook,
        query: &ChoiceQuery,
        engines: &[RankedEngine],
    ) -> Option<SlotRequest> {
        let best = engines.first()?;
        // A request that is late already waits for what those that can still be in time leave.
        let is_overdue = call.is_overdue(now);
        let begin = match is_overdue {
            true => call.end.saturating_sub(now) / 2,
            false => {
                let begin = call.aim * Self::BEGIN_PERMILLE / 1_000;
                begin.saturating_sub(now.saturating_sub(call.admitted))
            }
        };
        let hold = book.expected_hold(now, query, best.offer.unread);
        let start = call.aim * Self::START_PERMILLE / 1_000;
        let workspace = call.workspace.as_deref().unwrap_or_default();
        (!begin.is_zero()).then(|| SlotRequest {
            begin_ms: as_ms(begin),
            engines: Vec::new(),
            hold_ms: as_ms(hold),
            rank: if is_overdue {
                SlotRequest::OVERDUE_RANK
            } else {
                call.rank
            },
            start_ms: as_ms(start),
            workspace: WorkspaceKey::from(workspace),
        })
    }

    fn handle(&self, node: &Node, from: &VmId, message: SlotMessage) -> Vec<SlotOutput> {
        let now = node.clock.now();
        let load = |engine: UpstreamKey| node.gateway.book.borrow().known_load(engine);
        match message.is_for_scheduler() {
            true => {
                let mut scheduler = self.scheduler.borrow_mut();
                scheduler.handle_message(now, from, message, &load)
            }
            false => self.client.borrow_mut().handle_message(now, from, &message),
        }
    }

    /// Carries out outputs; messages to this VM itself are handled at once.
    fn take(node: &Rc<Node>, outputs: Vec<SlotOutput>) {
        let this = &node.gateway.slots;
        let own = &node.settings.vm;
        let mut outputs = VecDeque::from(outputs);
        while let Some(output) = outputs.pop_front() {
            match output {
                SlotOutput::Decide { decision, number } => {
                    if let Some(tx) = this.waiting.borrow_mut().remove(&number) {
                        // The caller may have left; its hold then returns the slot.
                        let _ = tx.send(decision);
                    }
                }
                SlotOutput::Send { message, to } if to == *own => {
                    outputs.extend(this.handle(node, own, message));
                }
                SlotOutput::Send { message, to } => node.send(&to, PeerMessage::Slots(message)),
            }
        }
    }
}

fn as_ms(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
