use super::*;
use {
    allowance_controller::AllowanceController,
    answer_buffers::AnswerBuffers,
    caller::Caller,
    capacity_controller::CapacityController,
    client_pool::ClientPool,
    clock::Clock,
    ebonystand_core::{Departure, EntryList, EntryVm, Place, VmEntry, VmRecord},
    gateway::{GatewayController, SlotController},
    group_controller::GroupController,
    group_thread::GroupThread,
    listeners::Listeners,
    membership_controller::MembershipController,
    metrics::Metrics,
    order_controller::OrderController,
    part_controller::PartController,
    peers::Peers,
    quarantine_controller::QuarantineController,
    queue_controller::QueueController,
    rand::SeedableRng as _,
    rand_pcg::Pcg64Mcg,
    route_controller::RouteController,
    slow_readers::SlowReaders,
    stall_controller::StallController,
    state_controller::StateController,
    std::collections::BTreeSet,
    tokio::{
        net::UdpSocket,
        sync::{Notify, watch},
    },
};

/// State of the process, shared by its tasks, which all run on one thread.
pub(crate) struct Node {
    pub(crate) addresses: Listen,
    pub(crate) allowance: AllowanceController,
    pub(crate) answer_buffers: Rc<AnswerBuffers>,
    pub(crate) capacity: CapacityController,
    pub(crate) clients: ClientPool,
    pub(crate) clock: Rc<dyn Clock>,
    departure: Cell<Option<Departure>>,
    draining: Cell<bool>,
    /// Whether what still runs is to be ended, because this VM stops.
    ends: watch::Sender<bool>,
    pub(crate) gateway: GatewayController,
    pub(crate) group: GroupController,
    pub(crate) in_flight: Rc<Cell<usize>>,
    pub(crate) incarnation: Incarnation,
    pub(crate) listeners: Rc<Listeners>,
    pub(crate) membership: MembershipController,
    pub(crate) metrics: Metrics,
    next_id: Cell<u64>,
    pub(crate) fresh_client: awc::Client,
    pub(crate) operator: KeyHash,
    pub(crate) orders: OrderController,
    pub(crate) parts: PartController,
    pub(crate) peers: Peers,
    place: Place,
    pub(crate) quarantine: QuarantineController,
    pub(crate) queue: QueueController,
    rng: RefCell<Pcg64Mcg>,
    pub(crate) readers: Rc<SlowReaders>,
    pub(crate) routes: RouteController,
    pub(crate) settings: Settings,
    pub(crate) stalls: StallController,
    pub(crate) state: StateController,
    pub(crate) stop: Notify,
}

impl Node {
    const DRAIN_LOOK: Duration = Duration::from_millis(20);
    /// Time for the last messages to other VMs to leave the process.
    const LAST_MESSAGES: Duration = Duration::from_millis(100);

    /// Who holds the key with this hash, if it is valid now.
    pub(crate) fn caller(&self, hash: &KeyHash) -> Option<Caller> {
        self.state.caller(hash)
    }

    pub(crate) fn count_refusal(&self, refusal: &Refusal) {
        let labels = metrics::RefusalLabels {
            code: refusal.code.to_string(),
            run: refusal.run.to_string(),
        };
        self.metrics.refusals.get_or_create(&labels).inc();
    }

    pub(crate) fn count_request(&self, workspace: &WorkspaceId) {
        let label = self.metrics.workspace(workspace);
        self.metrics.requests.get_or_create(&label).inc();
        let document = self.document();
        self.routes.on_request(self.clock.now(), document.preset());
    }

    /// The configuration in force. Not to be held while waiting.
    pub(crate) fn document(&self) -> Ref<'_, Document> {
        self.state.document()
    }

    /// Leaves without cutting a request: first the other VMs stop naming this one to callers,
    /// and it serves on for as long as the lists that name it are valid; then it takes nothing
    /// new and lets what runs end. What still runs when its time is over is refused.
    pub(crate) async fn drain(self: &Rc<Self>) {
        let limits = self.settings.limits;
        let now = self.clock.now();
        let departure = Departure::new(now, limits.linger, limits.drain, limits.certain_after);
        self.departure.set(Some(departure));
        MembershipController::leave(self);
        log::info!(running = self.in_flight.get(); "leaving");
        self.sleep_until(departure.lingers_until()).await;
        log::info!(running = self.in_flight.get(), others = self.region_has_other_taker(); "lingered");
        while self.clock.now() < departure.ends() {
            let takes = departure.takes_requests(self.clock.now(), self.region_has_other_taker());
            self.set_draining(!takes);
            let has_work = self.has_running() || self.readers.has_unaccepted();
            let stays = limits.has_grace && self.is_last_of_region(&departure);
            if !takes && !has_work && !stays {
                break;
            }
            actix_rt::time::sleep(Self::DRAIN_LOOK).await;
        }
        self.set_draining(true);
        let cut_off = self.in_flight.get() + self.listeners.operations();
        self.ends.send_replace(true);
        let until = self.clock.now() + limits.close;
        // What has been refused gives its allowance back first.
        actix_rt::time::sleep(Self::DRAIN_LOOK.min(limits.close / 4)).await;
        AllowanceController::drain(self);
        actix_rt::time::sleep(Self::LAST_MESSAGES.min(limits.close / 2)).await;
        self.listeners.close();
        while self.has_unsent_answers() && self.clock.now() < until {
            actix_rt::time::sleep(Self::DRAIN_LOOK).await;
        }
        log::info!(
            running = self.in_flight.get(), cut_off = cut_off, held_bytes = self.readers.held_bytes(),
            connections = self.listeners.connections(); "stopped"
        );
    }

    /// Waits until what still runs is to be ended, because this VM stops.
    pub(crate) async fn ended(&self) {
        // The sender lives as long as the node.
        let _ = self.watch_end().wait_for(|ends| *ends).await;
    }

    /// Watches whether what still runs is to be ended.
    pub(crate) fn watch_end(&self) -> watch::Receiver<bool> {
        self.ends.subscribe()
    }

    /// Whether what still runs is to be ended, because this VM stops.
    pub(crate) fn has_ended(&self) -> bool {
        *self.ends.borrow()
    }

    fn has_running(&self) -> bool {
        self.in_flight.get() > 0 || self.listeners.operations() > 0
    }

    /// Whether callers may still have to be sent answers, or to read them.
    fn has_unsent_answers(&self) -> bool {
        self.has_running() || self.readers.has_unaccepted() || self.listeners.connections() > 0
    }

    /// Sets whether new requests are refused, and tells the other VMs at once: the process may end before the next message.
    fn set_draining(self: &Rc<Self>, is_draining: bool) {
        if self.draining.replace(is_draining) == is_draining {
            return;
        }
        log::info!(draining = is_draining, running = self.in_flight.get(), leaving_for_ms:? = self.leaving_for_ms(self.clock.now()); "draining changed");
        self.gateway.tell_takes_callers(self);
        if is_draining {
            self.gateway.origins.hand_over(self);
        }
    }

    async fn sleep_until(&self, time: Duration) {
        actix_rt::time::sleep(time.saturating_sub(self.clock.now())).await;
    }

    /// How this VM stops; `None` while it is not about to.
    pub(crate) fn departure(&self) -> Option<Departure> {
        self.departure.get()
    }

    /// Whether new requests are refused.
    pub(crate) fn draining(&self) -> bool {
        self.draining.get()
    }

    /// VMs that a caller may use, best first.
    pub(crate) fn entry_list(&self, caller: &Caller) -> EntryList {
        let live = self.membership.live(self.clock.now());
        let vms = live.iter().map(|entry| EntryVm {
            address: entry.record.http,
            id: entry.record.vm.clone(),
            leaving: entry.is_leaving(),
            place: Place {
                region: entry.record.region.clone(),
                zone: entry.record.zone.clone(),
            },
        });
        let vms = vms.collect::<Vec<_>>();
        let document = self.document();
        let workspace = document.workspaces.get(&caller.workspace);
        let none = BTreeSet::new();
        let residency = workspace.map_or(&none, |workspace| &workspace.residency);
        let mut rng = self.rng.borrow_mut();
        EntryList::new(&mut rng, &vms, residency, &self.place, &caller.key)
    }

    pub(crate) fn key_valid(&self, id: &KeyId) -> bool {
        self.state.key_valid(id)
    }

    /// Whether another VM of the region takes callers.
    fn region_has_other_taker(&self) -> bool {
        let live = self.membership.live(self.clock.now());
        let mut records = live.iter().map(|entry| &entry.record);
        records.any(|record| {
            record.region == self.settings.region
                && record.vm != self.settings.vm
                && record.takes_callers
                && !record.leaving
        })
    }

    /// Whether no other VM of the region takes callers or leaves later than this one. Such a VM stays until it is killed, if it
    /// is known when: without a process, callers are not told when to come back.
    fn is_last_of_region(&self, departure: &Departure) -> bool {
        let live = self.membership.live(self.clock.now());
        let own = &self.settings;
        let is_other =
            |entry: &&VmEntry| entry.record.region == own.region && entry.record.vm != own.vm;
        let outlasts = |entry: &VmEntry| match entry.is_leaving() {
            true => {
                let vm = &entry.record.vm;
                let since = self.membership.away_since(vm);
                since.is_some_and(|since| departure.is_outlasted_by(&own.vm, vm, since))
            }
            false => entry.record.takes_callers,
        };
        !live.iter().filter(is_other).any(outlasts)
    }

    /// Whether this VM is about to stop.
    pub(crate) fn leaving(&self) -> bool {
        self.departure.get().is_some()
    }

    /// Milliseconds from the order to stop to `time`, for log lines; `None` while this VM is not about to stop.
    pub(crate) fn leaving_for_ms(&self, time: Duration) -> Option<u64> {
        let asked = self.departure.get()?.asked();
        Some(time.saturating_sub(asked).as_millis() as u64)
    }

    pub(crate) fn new(
        settings: Settings,
        addresses: Listen,
        socket: UdpSocket,
        thread: Option<GroupThread>,
        clock: Rc<dyn Clock>,
        gateway: GatewayController,
    ) -> Result<Self> {
        let path = &settings.operator_credential_file;
        let credential = std::fs::read_to_string(path).context(error::File { path })?;
        let path = &settings.secret_file;
        let secret = std::fs::read(path).context(error::File { path })?;
        let secret = Secret::new(secret.trim_ascii()).context(error::SecretFile { path })?;
        let incarnation = clock.wall().as_micros() as u64;
        let now = clock.now();
        let seed = random_u64()?;
        let place = Place {
            region: settings.region.clone(),
            zone: settings.zone.clone(),
        };
        let own = record(&settings, &addresses, incarnation);
        let region = settings.region.clone();
        let vm = settings.vm.clone();
        let metrics = Metrics::new();
        let readers = SlowReaders::new(
            settings.resources.memory_bytes,
            Rc::clone(&clock),
            metrics.held_bytes.clone(),
            metrics.answers_broken_off.clone(),
        );
        Ok(Self {
            addresses,
            allowance: AllowanceController::new(vm.clone(), incarnation, region, now),
            answer_buffers: AnswerBuffers::new(settings.resources.memory_bytes),
            capacity: CapacityController::default(),
            clients: ClientPool::new(),
            clock,
            departure: Cell::new(None),
            draining: Cell::new(false),
            ends: watch::Sender::new(false),
            gateway,
            group: GroupController::new(thread, random_u64()?),
            in_flight: Rc::default(),
            incarnation,
            listeners: Listeners::new(),
            membership: MembershipController::new(own, settings.seeds.clone(), now, seed, socket),
            metrics,
            next_id: Cell::new(0),
            fresh_client: ClientPool::client(),
            operator: KeyHash::from_secret(credential.trim()),
            orders: OrderController::new(vm.clone(), random_u64()?),
            parts: PartController::new(vm.clone(), incarnation),
            peers: Peers::new(secret),
            quarantine: QuarantineController::new(vm.clone(), incarnation),
            queue: QueueController::new(settings.limits.requests),
            rng: RefCell::new(Pcg64Mcg::seed_from_u64(seed)),
            readers,
            routes: RouteController::new(place.clone(), seed),
            place,
            stalls: StallController::new(now),
            state: StateController::new(vm, log_members(&settings), now, seed),
            settings,
            stop: Notify::new(),
        })
    }

    pub(crate) fn request_id(&self) -> Box<str> {
        self.next_id.set(self.next_id.get() + 1);
        let (incarnation, number) = (self.incarnation, self.next_id.get());
        format!("{}-{incarnation:x}-{number:x}", self.settings.vm).into()
    }

    /// Whether this VM may serve.
    pub(crate) fn ready(&self) -> bool {
        self.state.ready() && self.allowance.ready(self.clock.now())
    }

    pub(crate) fn receive(self: &Rc<Self>, from: &VmId, message: PeerMessage) {
        match message {
            PeerMessage::Confirm { stamp } => {
                let (leading, version) = self.state.leads_at(self);
                let answer = PeerMessage::Confirmed {
                    stamp,
                    leading,
                    version,
                };
                self.send(from, answer);
            }
            PeerMessage::Confirmed {
                stamp,
                leading,
                version,
            } => self.gateway.confirm(self, from, stamp, leading, version),
            PeerMessage::Listed(reading, update) => {
                self.gateway.list.receive(self, from, &reading, &update)
            }
            PeerMessage::ListWanted => self.gateway.list.send_whole(self, from),
            PeerMessage::Cached(cached) => {
                let now = self.clock.now();
                self.gateway
                    .book
                    .borrow_mut()
                    .receive_region_caches(now, cached);
            }
            PeerMessage::Load(message) => {
                GatewayController::receive_load_message(self, from, message);
            }
            PeerMessage::Part(message) => self.parts.receive(self, from, message),
            PeerMessage::Origin(message) => self.gateway.origins.receive(self, from, message),
            PeerMessage::Pressure { region, services } => {
                let pressures = services.into_iter();
                let pressures = pressures.map(|(service, first_byte_ms, event_gap_ms, offered)| {
                    let pressure = ebonystand_core::ServiceLatency {
                        event_gap: Duration::from_millis(event_gap_ms),
                        first_byte: Duration::from_millis(first_byte_ms),
                        offered,
                    };
                    (service, pressure)
                });
                let now = self.clock.now();
                let mut book = self.gateway.book.borrow_mut();
                book.receive_region_latencies(now, &region, pressures.collect());
            }
            PeerMessage::Allowance(message) => AllowanceController::receive(self, from, message),
            PeerMessage::Feed(message) => {
                let input = ebonystand_core::FeedInput::Message {
                    from: from.clone(),
                    message: *message,
                };
                StateController::step(self, input);
            }
            PeerMessage::Hello(_) | PeerMessage::Ping => {}
            PeerMessage::Propose { command, id } => {
                let propose =
                    GroupController::propose_for(Rc::clone(self), from.clone(), id, *command);
                actix_rt::spawn(propose);
            }
            PeerMessage::Proposed { id, proposed } => self.group.answered(id, *proposed),
            PeerMessage::Quarantine(message) => self.quarantine.receive(self, from, message),
            PeerMessage::Slots(message) => SlotController::receive(self, from, message),
            PeerMessage::Replica { from, message } => self.group.receive(from, message),
        }
    }

    /// Sends a message to a VM, if it is known where that listens.
    pub(crate) fn send(&self, to: &VmId, message: PeerMessage) {
        match self.membership.peer(to) {
            Some(address) => self.peers.send(self, address, message),
            None => log::debug!(to:% = to; "message dropped: the VM is not known yet"),
        }
    }

    /// Live VMs of the region, this one included.
    pub(crate) fn vms_of_region(&self) -> u32 {
        let now = self.clock.now();
        self.membership.live_of(now, &self.settings.region)
    }
}

/// VMs that take the configuration from the log: those named as members, and this one if it has a
/// log of its own.
fn log_members(settings: &Settings) -> Vec<VmId> {
    let own = settings.data_folder.as_ref().map(|_| settings.vm.clone());
    let others = settings.members.iter().filter(|vm| **vm != settings.vm);
    own.into_iter().chain(others.cloned()).collect()
}

fn random_u64() -> Result<u64> {
    getrandom::u64().context(error::Random)
}

fn record(settings: &Settings, addresses: &Listen, incarnation: Incarnation) -> VmRecord {
    VmRecord {
        capacity: settings.resources.capacity,
        capacity_halvings: 0,
        forwards: settings.gateway.forwards,
        heartbeat: 0,
        holds_log: settings.data_folder.is_some(),
        http: addresses.callers,
        incarnation,
        leaving: false,
        peer: addresses.peers,
        region: settings.region.clone(),
        takes_callers: false,
        version: 0,
        vm: settings.vm.clone(),
        zone: settings.zone.clone(),
    }
}
