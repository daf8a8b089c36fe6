//! Simulated fleet of real [`Allowance`]s in memory, stepped by the millisecond.

use super::*;

/// Limits of the random faults that befall messages.
#[derive(Clone, Copy, Default)]
pub struct Noise {
    pub doubled_permille: u32,
    pub jitter_ms: u64,
    pub lost_permille: u32,
}

/// Simulated VM, whose clock has its own offset and drift.
pub struct Node {
    pub allowance: Option<Allowance>,
    pub frozen: bool,
    /// Messages that arrive during a freeze and wait in the VM's socket.
    inbox: Vec<(VmId, AllowanceMessage)>,
    incarnation: u64,
    offset: Duration,
    drift_ppm: i64,
    region: RegionId,
    /// Admitted requests with the time at which each ends and its index in the fleet's requests.
    running: Vec<(Duration, usize, Reservation)>,
    version: u64,
    waiting: BTreeMap<TicketId, usize>,
}

/// Request as its caller sees it.
pub struct Request {
    pub admitted: Option<Duration>,
    pub arrived: Duration,
    pub lasts: Duration,
    pub reserved: Tokens,
    pub used: Tokens,
    pub vm: VmId,
    pub workspace: WorkspaceId,
}

/// Simulated VMs, the network between them and the faults to come.
#[derive(Default)]
pub struct Fleet {
    pub bytes: BTreeMap<VmId, usize>,
    pub cut: BTreeSet<(VmId, VmId)>,
    pub document: Document,
    /// One-way delay between regions.
    region_delay: Duration,
    /// VMs that have not adopted `document` yet, each with the time at which it will.
    pending_adoptions: BTreeMap<VmId, Duration>,
    in_flight: BTreeMap<(Duration, u64), (VmId, VmId, AllowanceMessage)>,
    pub nodes: BTreeMap<VmId, Node>,
    pub noise: Noise,
    pub now: Duration,
    /// Time after which a caller gives up a waiting request; `None` if never.
    pub wait_limit: Option<Duration>,
    pub requests: Vec<Request>,
    due_faults: Vec<(Duration, Fault, VmId, VmId)>,
    pub rng: Option<Pcg64Mcg>,
    /// Faults to come; each strikes when its step is next taken.
    pub script: VecDeque<(Step, Fault)>,
    sequence: u64,
    /// Time of the last fault from the script.
    last_fault_at: Duration,
}

impl Node {
    /// Time on the VM's own clock.
    pub fn local_time(&self, now: Duration) -> Duration {
        // A millionth of a millisecond is a nanosecond.
        let drift = Duration::from_nanos(now.as_millis() as u64 * self.drift_ppm.unsigned_abs());
        if self.drift_ppm < 0 {
            return self.offset + now - drift;
        }
        self.offset + now + drift
    }
}

impl Fleet {
    /// Creates regions of `vms` VMs each, named `vm-REGION-NUMBER`; the first one of each is the
    /// holder.
    pub fn new(document: &Document, vms: usize, seed: u64) -> Self {
        let links = document
            .regions
            .values()
            .flat_map(|region| region.links.values());
        let mut fleet = Self {
            document: document.clone(),
            region_delay: links.map(Link::delay).max().unwrap_or_default(),
            rng: Some(Pcg64Mcg::seed_from_u64(seed)),
            ..Self::default()
        };
        for region in document.regions.keys() {
            for number in 0..vms {
                fleet.add_vm(&format!("vm-{region}-{number}").into(), region);
            }
        }
        fleet
    }

    fn add_vm(&mut self, vm: &VmId, region: &RegionId) {
        let node = Node {
            allowance: None,
            frozen: false,
            inbox: Vec::new(),
            incarnation: 0,
            offset: Duration::from_secs(self.draw_below(1_000_000)),
            drift_ppm: self.draw_below(1_001) as i64 - 500,
            region: region.clone(),
            running: Vec::new(),
            version: 0,
            waiting: BTreeMap::new(),
        };
        self.nodes.insert(vm.clone(), node);
        self.start(vm);
    }

    /// Draws a random number below `below`.
    pub fn draw_below(&mut self, below: u64) -> u64 {
        let rng = self.rng.as_mut().expect("a seeded fleet");
        rng.next_u64() % below
    }

    /// Publishes a configuration. Each running VM adopts it within ten seconds.
    pub fn publish(&mut self, document: Document) {
        self.document = document;
        let vms: Vec<VmId> = self.nodes.keys().cloned().collect();
        for vm in vms {
            let lag = Duration::from_millis(self.draw_below(8_900));
            let adopts = self.now + lag;
            let earlier = self.pending_adoptions.get(&vm).copied().unwrap_or(adopts);
            self.pending_adoptions.insert(vm, adopts.min(earlier));
        }
    }

    /// Freezes a VM, or thaws it and delivers the messages that waited.
    pub fn freeze(&mut self, vm: &str, frozen: bool) {
        let adopts = self.now + Duration::from_millis(self.draw_below(8_900));
        let node = self.nodes.get_mut(vm).expect("a VM of the fleet");
        if node.frozen && !frozen {
            self.pending_adoptions.insert(vm.into(), adopts);
            for (from, message) in std::mem::take(&mut node.inbox) {
                let packet = (from, vm.into(), message);
                self.in_flight.insert((self.now, self.sequence), packet);
                self.sequence += 1;
            }
        }
        node.frozen = frozen;
    }

    /// Tells a VM that its configuration has caught up with the fleet's.
    pub fn complete_start(&mut self, vm: &str) {
        self.call(vm, Allowance::complete_start);
    }

    /// Calls the allowance of a VM unless it is down or frozen, and carries out the outputs.
    fn call(
        &mut self,
        vm: &str,
        call: impl FnOnce(&mut Allowance, Duration) -> Vec<AllowanceOutput>,
    ) {
        let node = self.nodes.get_mut(vm).expect("a VM of the fleet");
        let local = node.local_time(self.now);
        if let Some(allowance) = node.allowance.as_mut().filter(|_| !node.frozen) {
            let outputs = call(allowance, local);
            self.carry_out(vm, outputs);
        }
    }

    pub fn configure(&mut self, vm: &str, document: &Document) {
        self.strike(Step::Configure, vm, vm);
        self.nodes.get_mut(vm).expect("a VM of the fleet").version = document.version;
        self.call(vm, |allowance, now| allowance.configure(now, document));
    }

    /// Crashes a VM. Its running requests count as used in full.
    pub fn crash(&mut self, vm: &str) {
        let node = self.nodes.get_mut(vm).expect("a VM of the fleet");
        node.allowance = None;
        node.inbox.clear();
        node.waiting.clear();
        for (_, index, _) in node.running.drain(..) {
            self.requests[index].used = self.requests[index].reserved;
        }
    }

    pub fn drain(&mut self, vm: &str) {
        self.call(vm, Allowance::drain);
    }

    /// Starts a VM again that is down, with the newest configuration.
    pub fn start(&mut self, vm: &str) {
        let document = self.document.clone();
        self.start_with(vm, &document);
        self.complete_start(vm);
    }

    /// Starts a VM again that is down, with the configuration that its disk holds.
    pub fn start_with(&mut self, vm: &str, document: &Document) {
        let now = self.now;
        let node = self.nodes.get_mut(vm).expect("a VM of the fleet");
        if node.allowance.is_some() {
            return;
        }
        node.incarnation += 1;
        node.frozen = false;
        let local = node.local_time(now);
        let region = node.region.clone();
        let mut allowance = Allowance::new(vm.into(), node.incarnation, region, local);
        allowance.configure(local, document);
        node.allowance = Some(allowance);
        node.version = document.version;
    }

    pub fn cut(&mut self, from: &str, to: &str) {
        self.cut.insert((from.into(), to.into()));
    }

    /// Sends a request that runs for 20 ms; its outcome is recorded in `requests`.
    pub fn request(&mut self, vm: &str, workspace: &str, reserved: Tokens, used: Tokens) {
        let lasts = Duration::from_millis(20);
        self.request_lasting(vm, workspace, reserved, used, lasts);
    }

    pub fn request_lasting(
        &mut self,
        vm: &str,
        workspace: &str,
        reserved: Tokens,
        used: Tokens,
        lasts: Duration,
    ) {
        let index = self.requests.len();
        self.requests.push(Request {
            admitted: None,
            arrived: self.now,
            lasts,
            reserved,
            used,
            vm: vm.into(),
            workspace: workspace.into(),
        });
        let now = self.now;
        let node = self.nodes.get_mut(vm).expect("a VM of the fleet");
        let local = node.local_time(now);
        let Some(allowance) = node.allowance.as_mut().filter(|_| !node.frozen) else {
            return;
        };
        match allowance.admit_request(local, workspace, reserved) {
            Admission::Granted(reservation) => self.record_admission(vm, index, reservation),
            Admission::Refused { .. } => {}
            Admission::Waiting(ticket) => {
                node.waiting.insert(ticket, index);
            }
        }
        self.tick(vm);
    }

    /// Simulates the fleet for `time`.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        let vms: Vec<VmId> = self.nodes.keys().cloned().collect();
        while self.now < end {
            self.now += Duration::from_millis(1);
            self.apply_due_faults();
            self.adopt_configurations();
            self.deliver_messages();
            vms.iter().for_each(|vm| self.step_vm(vm));
        }
    }

    /// Records an admission and the end of the request.
    fn record_admission(&mut self, vm: &str, index: usize, reservation: Reservation) {
        let request = &mut self.requests[index];
        request.admitted = Some(self.now);
        let node = self.nodes.get_mut(vm).expect("a VM of the fleet");
        node.running
            .push((self.now + request.lasts, index, reservation));
    }

    /// Returns the fault that is due at this step, if any, and schedules its effect on sender,
    /// receiver or link.
    fn strike(&mut self, step: Step, from: &str, to: &str) -> Option<Fault> {
        let (due, fault) = *self.script.front()?;
        let recovers = self.last_fault_at + Duration::from_millis(200) <= self.now;
        if due != step && (due != Step::Any || !recovers) {
            return None;
        }
        self.last_fault_at = self.now;
        self.script.pop_front();
        self.due_faults
            .push((self.now, fault, from.into(), to.into()));
        Some(fault)
    }

    /// Applies scheduled faults to VMs and links, and schedules their repair.
    fn apply_due_faults(&mut self) {
        let now = self.now;
        let due: Vec<_> = self
            .due_faults
            .extract_if(.., |repair| repair.0 <= now)
            .collect();
        for (_, fault, from, to) in due {
            let (next, after) = match fault {
                Fault::CrashReceiver | Fault::CrashSender => (Fault::Start, 100),
                Fault::CutBoth | Fault::CutOne => (Fault::Heal, 4_000),
                Fault::FreezeReceiver | Fault::FreezeSender => (Fault::Thaw, 3_500),
                _ => (fault, 0),
            };
            let vm = match fault {
                Fault::CrashSender | Fault::FreezeSender => from.clone(),
                _ => to.clone(),
            };
            match fault {
                Fault::CrashReceiver | Fault::CrashSender => self.crash(&vm),
                Fault::CutBoth => {
                    self.cut(&from, &to);
                    self.cut(&to, &from);
                }
                Fault::CutOne => self.cut(&from, &to),
                Fault::FreezeReceiver | Fault::FreezeSender => self.freeze(&vm, true),
                Fault::Heal => self.cut.clear(),
                Fault::Start => self.start(&vm),
                Fault::Thaw => self.freeze(&vm, false),
                Fault::Double | Fault::Late | Fault::Lose => {}
            }
            if after > 0 {
                self.due_faults
                    .push((now + Duration::from_millis(after), next, vm.clone(), vm));
            }
        }
    }

    fn adopt_configurations(&mut self) {
        let now = self.now;
        if self.pending_adoptions.is_empty() {
            return;
        }
        let due = self.pending_adoptions.extract_if(.., |_, at| *at <= now);
        let due: Vec<VmId> = due.map(|(vm, _)| vm).collect();
        let document = self.document.clone();
        for vm in due {
            self.configure(&vm, &document);
        }
    }

    /// Delivers messages that have arrived; a frozen VM gets them after it thaws.
    fn deliver_messages(&mut self) {
        while let Some(entry) = self.in_flight.first_entry()
            && entry.key().0 <= self.now
        {
            let (from, to, message) = entry.remove();
            let node = self.nodes.get_mut(&to).expect("a VM of the fleet");
            if node.frozen {
                node.inbox.push((from, message));
                continue;
            }
            self.call(&to, |allowance, now| {
                allowance.handle_message(now, &from, message)
            });
        }
    }

    fn step_vm(&mut self, vm: &VmId) {
        let now = self.now;
        let node = self.nodes.get_mut(vm).expect("a VM of the fleet");
        if node.frozen {
            return;
        }
        let ended = node.running.extract_if(.., |(end, _, _)| *end <= now);
        let ended: Vec<_> = ended.collect();
        if !ended.is_empty() {
            self.strike(Step::Settle, vm, vm);
        }
        for (_, index, reservation) in ended {
            let used = self.requests[index].used;
            self.call(vm, |allowance, now| {
                allowance.settle_reservation(now, reservation, used)
            });
        }
        self.cancel_late_requests(vm);
        self.confirm_configuration(vm);
        self.tick(vm);
    }

    /// Confirms to a VM every 500 ms, as the leader does, that its configuration is the newest.
    fn confirm_configuration(&mut self, vm: &str) {
        let is_due = self.now.as_millis().is_multiple_of(500);
        if is_due && self.nodes[vm].version == self.document.version {
            self.call(vm, |allowance, now| {
                allowance.confirm_configuration(now, now)
            });
        }
    }

    /// Cancels requests that have waited for longer than `wait_limit`.
    fn cancel_late_requests(&mut self, vm: &str) {
        let Some(wait_limit) = self.wait_limit else {
            return;
        };
        let requests = &self.requests;
        let now = self.now;
        let node = self.nodes.get_mut(vm).expect("a VM of the fleet");
        let late = |index: &usize| now >= requests[*index].arrived + wait_limit;
        let late = node.waiting.iter().filter(|(_, index)| late(index));
        let late: Vec<TicketId> = late.map(|(ticket, _)| *ticket).collect();
        for ticket in late {
            let node = self.nodes.get_mut(vm).expect("a VM of the fleet");
            if node.waiting.remove(&ticket).is_some() {
                self.call(vm, |allowance, now| allowance.cancel_request(now, ticket));
            }
        }
    }

    fn tick(&mut self, vm: &str) {
        self.call(vm, |allowance, now| match allowance.deadline() {
            Some(at) if at <= now => allowance.tick(now),
            _ => Vec::new(),
        });
    }

    fn carry_out(&mut self, vm: &str, outputs: Vec<AllowanceOutput>) {
        for output in outputs {
            match output {
                AllowanceOutput::Admitted {
                    reservation,
                    ticket,
                } => {
                    let node = self.nodes.get_mut(vm).expect("a VM of the fleet");
                    let index = node.waiting.remove(&ticket).expect("a waiting request");
                    self.record_admission(vm, index, reservation);
                }
                AllowanceOutput::Refused { ticket, .. }
                | AllowanceOutput::Unanswered { ticket } => {
                    let node = self.nodes.get_mut(vm).expect("a VM of the fleet");
                    node.waiting.remove(&ticket).expect("a waiting request");
                }
                AllowanceOutput::Send { message, to } => self.send(vm, &to, &message),
            }
        }
    }

    fn send(&mut self, from: &str, to: &VmId, message: &AllowanceMessage) {
        let bytes = postcard::to_stdvec(message).map_or(0, |bytes| bytes.len());
        *self.bytes.entry(from.into()).or_default() += bytes;
        let lost = self.draw_below(1_000) < u64::from(self.noise.lost_permille);
        let steps = message.items.iter().map(|item| Step::of(&item.action));
        let faults: Vec<Fault> = steps
            .filter_map(|step| self.strike(step, from, to))
            .collect();
        let lost = lost || faults.contains(&Fault::Lose);
        let doubled = u64::from(faults.contains(&Fault::Double));
        let late = u64::from(faults.contains(&Fault::Late)) * 2_700;
        if lost || self.cut.contains(&(from.into(), to.clone())) {
            return;
        }
        let noise = u64::from(self.draw_below(1_000) < u64::from(self.noise.doubled_permille));
        let region = |vm: &str| self.nodes.get(vm).map(|node| node.region.clone());
        let Some(home) = region(from).zip(region(to)) else {
            return;
        };
        let near = Duration::from_millis(1);
        let delay = if home.0 == home.1 {
            near
        } else {
            self.region_delay
        };
        for copy in 0..1 + doubled + noise {
            let jitter = self.draw_below(self.noise.jitter_ms + 1) + late + copy * 40;
            let at = self.now + delay + Duration::from_millis(jitter);
            let packet = (from.into(), to.clone(), message.clone());
            self.in_flight.insert((at, self.sequence), packet);
            self.sequence += 1;
        }
    }
}
