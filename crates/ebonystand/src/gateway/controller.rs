use super::*;
use {
    allowance_controller::AllowanceController,
    capacity_controller::CapacityController,
    crash_watch::CrashWatch,
    ebonystand_core::{
        Confirmation, LoadMessage, Place, QuestionStamps, RegionVm, RelayPlan, RouteTable,
        UpstreamBook, UpstreamLimit, VmEntry,
    },
    forwarders::Forwarders,
    list_controller::ListController,
    membership_controller::MembershipController,
    metrics::ServiceLabel,
    node::Node,
    origin_controller::OriginController,
    rand::{RngExt as _, SeedableRng as _},
    rand_pcg::Pcg64Mcg,
    retry_budgets::RetryBudgets,
    room_queues::RoomQueues,
    slot_controller::SlotController,
    std::collections::{BTreeMap, BTreeSet},
};

/// State that requests are routed by, and the tasks that keep it up to date.
pub(crate) struct GatewayController {
    pub(crate) book: RefCell<UpstreamBook>,
    confirmation: RefCell<Confirmation>,
    pub(crate) crashes: CrashWatch,
    pub(crate) dialect: Rc<dyn Dialect>,
    /// Whether a program embeds the daemon with a dialect of its own, so that all callers are
    /// served by routes.
    pub(crate) embedded: bool,
    evacuated: RefCell<BTreeSet<ZoneId>>,
    forwarders: RefCell<Rc<Forwarders>>,
    leader: RefCell<Option<VmId>>,
    leader_changed: tokio::sync::Notify,
    pub(crate) list: ListController,
    pub(crate) origins: OriginController,
    pub(crate) pool: ConnectionPool,
    pub(crate) retries: RetryBudgets,
    rng: RefCell<Pcg64Mcg>,
    pub(crate) slots: SlotController,
    stamps: QuestionStamps,
    /// VMs that left a forwarded request unanswered, and until when they get no others.
    suspects: RefCell<FxHashMap<VmId, Duration>>,
    table: RefCell<Rc<RouteTable>>,
    pub(crate) room_queues: RoomQueues,
    needs_confirmation: bool,
}

impl GatewayController {
    /// Time between two requests for confirmation that the configuration is the newest. After two
    /// of them without an answer, all VMs with a log are asked, so that a new leader is found
    /// within a second of its election.
    const CONFIRM_INTERVAL: Duration = Duration::from_millis(500);
    /// Time between two messages about this region's load to VMs of other regions.
    const PRESSURE_INTERVAL: Duration = Duration::from_millis(250);
    /// Number of relays in other regions that get each message about this region's load.
    const PRESSURE_FAN_OUT: usize = 6;
    /// Time until the lists that callers have name a VM that has begun to take callers.
    const LIST_TIME: Duration = Duration::from_secs(1);
    /// Largest number of VMs that a new leader notifies of its election.
    const MAX_LEADER_NOTICES: usize = 256;
    /// Time for which a VM gets no forwarded requests after it left one unanswered.
    const SUSPECT_DURATION: Duration = Duration::from_secs(2);

    pub(crate) fn new(
        settings: &Settings,
        dialect: Option<Rc<dyn Dialect>>,
        source: Option<Rc<dyn UpstreamSource>>,
        now: Duration,
        seed: u64,
    ) -> Self {
        let gateway = &settings.gateway;
        let mut zones = gateway.zones.clone();
        zones.insert(settings.zone.clone(), settings.region.clone());
        let place = Place {
            region: settings.region.clone(),
            zone: settings.zone.clone(),
        };
        let book = UpstreamBook::new(settings.vm.clone(), place, zones)
            .with_read_interval(gateway.list_every)
            .with_region_delay(gateway.region_delay);
        if !gateway.without.is_empty() {
            let without = gateway.without.iter().map(ToString::to_string);
            let without = without.collect::<Vec<_>>().join(" ");
            log::warn!(without:% = without; "mechanisms are disabled for an experiment");
        }
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        Self {
            book: RefCell::new(book.with_disabled_mechanisms(gateway.without.clone())),
            confirmation: RefCell::new(Confirmation::new(gateway.confirmed_for)),
            embedded: dialect.is_some(),
            crashes: CrashWatch::default(),
            dialect: dialect.unwrap_or_else(|| Rc::new(native_dialect::NativeDialect)),
            evacuated: RefCell::default(),
            forwarders: RefCell::default(),
            leader: RefCell::default(),
            leader_changed: tokio::sync::Notify::new(),
            list: ListController::new(source, gateway.list_every, now),
            origins: OriginController::new(rng.random()),
            pool: ConnectionPool::default(),
            retries: RetryBudgets::new(gateway, now),
            stamps: QuestionStamps::new(rng.random()),
            rng: RefCell::new(rng),
            slots: SlotController::new(seed),
            suspects: RefCell::default(),
            table: RefCell::default(),
            room_queues: RoomQueues::default(),
            needs_confirmation: !gateway.confirmed_for.is_zero(),
        }
    }

    /// Applies a new configuration.
    pub(crate) fn configure(&self, now: Duration, document: &Document) {
        let evacuated = std::mem::replace(
            &mut *self.evacuated.borrow_mut(),
            document.evacuated.clone(),
        );
        for zone in evacuated.difference(&document.evacuated) {
            self.book.borrow_mut().record_zone_return(now, zone);
        }
        if self.table.borrow().routing().revision == document.routing.revision {
            return;
        }
        let table = RouteTable::from(document.routing.clone());
        self.origins.configure(now, &table);
        self.table.replace(Rc::new(table));
        log::info!(
            revision = document.routing.revision, routes = document.routing.routes.len();
            "routes in force"
        );
    }

    /// Whether this VM's copy of the configuration is confirmed to be the newest, or needs no
    /// confirmation.
    pub(crate) fn confirmed(&self, now: Duration) -> bool {
        !self.needs_confirmation || self.confirmation.borrow().is_valid(now)
    }

    /// Handles an answer to the request for confirmation with this stamp, or a notice that another VM
    /// has become the leader. Only an answer of the leader to this process confirms anything.
    pub(crate) fn confirm(
        &self,
        node: &Rc<Node>,
        from: &VmId,
        stamp: u64,
        leading: bool,
        version: Version,
    ) {
        if !leading {
            return;
        }
        let known = self.leader.replace(Some(from.clone()));
        if known.as_ref() != Some(from) {
            log::info!(leader:% = from; "leader of the log found");
            self.leader_changed.notify_one();
        }
        let now = node.clock.now();
        let Some(asked) = self.stamps.asked_at(stamp, now) else {
            log::debug!(from:% = from; "confirmation ignored: this process has not asked for it");
            return;
        };
        let own = node.document().version;
        self.confirmation
            .borrow_mut()
            .record_answer(asked, version, own);
        if own >= version {
            AllowanceController::confirm(node, asked);
        }
    }

    /// Returns a random number.
    pub(crate) fn draw(&self) -> u64 {
        self.rng.borrow_mut().random()
    }

    /// Returns a random factor near 1 for periodic delays, so that VMs that started together don't
    /// stay in step.
    pub(crate) fn jitter(&self) -> f64 {
        self.rng.borrow_mut().random_range(0.8..1.2)
    }

    /// Picks a random VM of a region that accepts forwarded requests, has not recently left one
    /// unanswered and is none of `excluded`.
    pub(crate) fn forwarder(
        &self,
        node: &Node,
        region: &str,
        excluded: &[VmId],
    ) -> Option<(VmId, SocketAddr)> {
        let forwarders = self.forwarders(node);
        let now = node.clock.now();
        let sound = forwarders.list_sound(region, |vm| {
            self.is_sound(now, vm) && !excluded.contains(vm)
        });
        if sound.is_empty() {
            return None;
        }
        let index = self.rng.borrow_mut().random_range(0..sound.len());
        Some(sound[index].clone())
    }

    /// Whether this VM may serve and its configuration holds a routing that an operator has set.
    pub(crate) fn has_routes(&self, node: &Node) -> bool {
        node.state.ready() && self.table.borrow().routing().revision > 0
    }

    /// Whether new callers may be directed to this VM.
    pub(crate) fn ready(&self, node: &Node) -> bool {
        self.serves(node) && !node.leaving()
    }

    /// Whether this VM serves requests that arrive, which it still does while it is leaving.
    pub(crate) fn serves(&self, node: &Node) -> bool {
        node.settings.gateway.serves_callers
            && self.has_routes(node)
            && self.confirmed(node.clock.now())
            && self.list.is_known()
            && node.ready()
            && !node.draining()
    }

    /// Whether callers may be directed to this VM, for routes or for the daemon's own API. A VM
    /// without routes serves the daemon's own API, except if a program embeds the daemon: it then
    /// serves only routes.
    fn takes_callers(&self, node: &Node) -> bool {
        if self.embedded || self.has_routes(node) {
            return self.serves(node);
        }
        node.settings.gateway.serves_callers && node.ready() && !node.draining()
    }

    /// Tells the other VMs whether callers may be directed to this one, if that has changed.
    pub(crate) fn tell_takes_callers(&self, node: &Rc<Node>) {
        MembershipController::set_takes_callers(node, self.takes_callers(node));
    }

    /// Returns the regions that have another VM that accepts forwarded requests and is none of
    /// `excluded`.
    pub(crate) fn reachable(&self, node: &Node, excluded: &[VmId]) -> BTreeSet<RegionId> {
        let now = node.clock.now();
        let forwarders = self.forwarders(node);
        let reachable = forwarders.regions().filter(|region| {
            let is_sound = |vm: &VmId| self.is_sound(now, vm) && !excluded.contains(vm);
            forwarders.has_sound(region, is_sound)
        });
        reachable.cloned().collect()
    }

    /// Whether a VM of the region `from` has another VM than this one to forward a request to that may be served in `homes`,
    /// or anywhere if there are none.
    pub(crate) fn has_other_way(
        &self,
        node: &Node,
        from: &RegionId,
        homes: Option<&BTreeSet<RegionId>>,
    ) -> bool {
        let now = node.clock.now();
        let forwarders = self.forwarders(node);
        let mut regions = forwarders
            .regions()
            .filter(|region| *region != from && homes.is_none_or(|homes| homes.contains(*region)));
        regions.any(|region| forwarders.has_staying(region, |vm| self.is_sound(now, vm)))
    }

    /// Returns how long it takes, as far as is known, until another VM takes callers whose requests may be served in
    /// `homes`, or anywhere if there are none; zero if one does, or if this VM stays.
    pub(crate) fn time_to_return(
        &self,
        node: &Node,
        homes: Option<&BTreeSet<RegionId>>,
    ) -> Duration {
        let (now, own) = (node.clock.now(), &node.settings);
        let is_allowed = |region: &RegionId| homes.is_none_or(|homes| homes.contains(region));
        if !node.leaving() && is_allowed(&own.region) {
            return Duration::ZERO;
        }
        let live = node.membership.live(now);
        let takes_callers = |entry: &&VmEntry| {
            let record = &entry.record;
            let is_other = record.vm != own.vm;
            is_other && record.takes_callers && !entry.is_leaving() && is_allowed(&record.region)
        };
        let mut takers = live.iter().filter(takes_callers).peekable();
        if takers.peek().is_none() {
            let usual = own.limits.usual_absence();
            let returns = node.membership.next_return(now, usual, is_allowed);
            let named = returns.map_or(now, |at| at + Self::LIST_TIME);
            return named.saturating_sub(now);
        }
        if takers.any(|entry| entry.record.region == own.region) {
            return Duration::ZERO;
        }
        // The directory names VMs of other regions only once this one takes no more callers.
        let departure = node.departure();
        let named_until = departure.map_or(now, |departure| departure.takes_until(false));
        named_until.saturating_sub(now)
    }

    /// Asks the leader periodically whether the configuration is the newest, until the task is
    /// dropped. While no leader is known, all VMs with a log are asked.
    pub(crate) async fn run_confirm(node: Rc<Node>) {
        let this = &node.gateway;
        loop {
            let now = node.clock.now();
            let valid = this.confirmed(now);
            let age = this.confirmation.borrow().age(now);
            let is_late = age.is_none_or(|age| age > 2 * Self::CONFIRM_INTERVAL);
            if is_late {
                this.leader.replace(None);
            }
            let leader = this.leader.borrow().clone();
            match leader {
                Some(leader) => Self::request_confirmation(&node, now, &leader),
                None => {
                    for entry in node.membership.live(now).iter() {
                        if entry.record.holds_log {
                            Self::request_confirmation(&node, now, &entry.record.vm);
                        }
                    }
                }
            }
            // A new leader is asked at once, because a VM can serve only briefly without a
            // confirmation.
            tokio::select! {
                () = actix_rt::time::sleep(Self::CONFIRM_INTERVAL) => {}
                () = this.leader_changed.notified() => {}
            }
            if valid != this.confirmed(node.clock.now()) {
                log::info!(confirmed = !valid, version = node.document().version; "confirmation changed");
            }
        }
    }

    /// Publishes to all VMs, periodically until the task is dropped, whether callers may be directed
    /// to this VM. A relay that accepts forwarded requests also sends other regions the latencies
    /// that requests can expect in this region, and the prefixes that engines here have cached.
    pub(crate) async fn run_pressure(node: Rc<Node>) {
        let this = &node.gateway;
        actix_rt::spawn(RoomQueues::run(Rc::clone(&node)));
        loop {
            actix_rt::time::sleep(Self::PRESSURE_INTERVAL).await;
            this.tell_takes_callers(&node);
            CapacityController::update(&node);
            node.readers.expire();
            let forwards = node.settings.gateway.forwards;
            let forwards = forwards.filter(|_| !this.book.borrow().is_cut_off());
            MembershipController::set_forwards(&node, forwards);
            let is_relay = this.book.borrow().is_relay();
            if is_relay && node.settings.gateway.forwards.is_some() {
                Self::send_pressure(&node);
                Self::send_cached_to_regions(&node);
            }
        }
    }

    /// Handles a load message of another VM of the region.
    pub(crate) fn receive_load_message(node: &Rc<Node>, from: &VmId, message: LoadMessage) {
        let now = node.clock.now();
        let mut book = node.gateway.book.borrow_mut();
        for (upstream, limit) in book.receive_load_message(now, from, message) {
            Self::log_limit(&upstream, limit, from);
        }
    }

    /// Logs that the limit of an upstream has changed on this VM, by word of `from`.
    pub(crate) fn log_limit(upstream: &str, limit: Option<UpstreamLimit>, from: &str) {
        let per_s = limit.map_or(0.0, UpstreamLimit::per_s);
        log::info!(upstream:% = upstream, per_s = per_s, from:% = from; "limit of an upstream changed");
    }

    /// Sends the load of upstreams known to this VM to the VMs of the region periodically, until
    /// the task is dropped.
    pub(crate) async fn run_load(node: Rc<Node>) {
        let this = &node.gateway;
        let mut known = Rc::default();
        loop {
            let now = node.clock.now();
            let live = node.membership.live(now);
            if !Rc::ptr_eq(&live, &known) {
                let mut counts = BTreeMap::<RegionId, usize>::new();
                for entry in live.iter().filter(|entry| entry.record.takes_callers) {
                    *counts.entry(entry.record.region.clone()).or_default() += 1;
                }
                this.book.borrow_mut().set_region_vms(counts);
                let vms = live
                    .iter()
                    .filter_map(|entry| serving_vm_in(entry, &node.settings.region));
                let vms = vms.collect::<Vec<_>>();
                this.book.borrow_mut().set_vms(now, &vms);
                this.slots.set_vms(now, vms);
                known = live;
            }
            this.slots.update_engines(&node);
            let messages = this.book.borrow_mut().build_load_messages(now);
            let limited = this.book.borrow().limits(now).count();
            node.metrics.limited_upstreams.set(limited as i64);
            let noticed = this.book.borrow().notices(now).count();
            node.metrics.noticed_upstreams.set(noticed as i64);
            let slow = this.book.borrow().slow_upstreams(now);
            node.metrics.slow_upstreams.set(slow as i64);
            for (vm, message) in messages {
                node.send(&vm, PeerMessage::Load(message));
            }
            let every = this.book.borrow().load_message_interval();
            actix_rt::time::sleep(every.mul_f64(this.jitter())).await;
        }
    }

    /// Records that a VM left a forwarded request unanswered.
    pub(crate) fn suspect(&self, now: Duration, vm: &VmId) {
        let until = now + Self::SUSPECT_DURATION;
        self.suspects.borrow_mut().insert(vm.clone(), until);
    }

    /// Notifies other VMs that this one is the leader of the log. Their number is bounded for large
    /// fleets; the rest learn it when they ask for a confirmation.
    pub(crate) fn tell_leading(node: &Rc<Node>) {
        let version = node.document().version;
        let live = node.membership.live(node.clock.now());
        let others = live
            .iter()
            .filter(|entry| entry.record.vm != node.settings.vm);
        for entry in others.take(Self::MAX_LEADER_NOTICES) {
            let message = PeerMessage::Confirmed {
                stamp: 0,
                leading: true,
                version,
            };
            node.send(&entry.record.vm, message);
        }
    }

    /// Returns the routes, services and workspaces in force.
    pub(crate) fn table(&self) -> Rc<RouteTable> {
        Rc::clone(&self.table.borrow())
    }

    /// Whether a VM may get forwarded requests. It may not for [`Self::SUSPECT_DURATION`] after it
    /// left one unanswered.
    fn is_sound(&self, now: Duration, vm: &VmId) -> bool {
        let suspects = self.suspects.borrow();
        suspects.get(vm).is_none_or(|until| now >= *until)
    }

    /// Asks a VM, or this VM itself, whether it leads the log and at which version.
    fn request_confirmation(node: &Rc<Node>, now: Duration, vm: &VmId) {
        let stamp = node.gateway.stamps.stamp(now);
        if *vm == node.settings.vm {
            let (leading, version) = node.state.leads_at(node);
            node.gateway.confirm(node, vm, stamp, leading, version);
            return;
        }
        node.send(vm, PeerMessage::Confirm { stamp });
    }

    /// Returns the other VMs that accept forwarded requests, cached until the set of
    /// live VMs changes.
    fn forwarders(&self, node: &Node) -> Rc<Forwarders> {
        let live = node.membership.live(node.clock.now());
        let mut known = self.forwarders.borrow_mut();
        if !known.is_derived_from(&live) {
            *known = Rc::new(Forwarders::new(live, &node.settings.vm));
        }
        Rc::clone(&known)
    }

    /// Sends the prefixes cached by engines to one relay of each other region, which passes them on
    /// there.
    fn send_cached_to_regions(node: &Rc<Node>) {
        let this = &node.gateway;
        let cached = this.book.borrow_mut().take_caches_for_regions();
        if cached.is_empty() {
            return;
        }
        for relays in this.relays_of_other_regions(node).into_values() {
            let index = this.rng.borrow_mut().random_range(0..relays.len());
            node.send(&relays[index], PeerMessage::Cached(cached.clone()));
        }
    }

    /// Returns the relays of each other region; regions without a relay are left out.
    fn relays_of_other_regions(&self, node: &Node) -> BTreeMap<RegionId, Vec<VmId>> {
        let live = node.membership.live(node.clock.now());
        let others = live.iter().filter(|entry| entry.record.takes_callers);
        let mut regions = BTreeMap::<&RegionId, Vec<RegionVm>>::new();
        for entry in others.filter(|entry| entry.record.region != node.settings.region) {
            let region = &entry.record.region;
            let vms = regions.entry(region).or_default();
            vms.extend(serving_vm_in(entry, region));
        }
        let relays = regions.into_iter().map(|(region, vms)| {
            let relays = RelayPlan::new(&vms).relays().cloned().collect::<Vec<_>>();
            (region.clone(), relays)
        });
        relays.filter(|(_, relays)| !relays.is_empty()).collect()
    }

    /// Sends the latencies expected in this region to random relays of other regions.
    fn send_pressure(node: &Rc<Node>) {
        let this = &node.gateway;
        let now = node.clock.now();
        let pressures = {
            let evacuated = this.evacuated.borrow();
            let table = this.table();
            let is_engine = |name: &str| {
                table
                    .service(name)
                    .is_some_and(|service| service.engine.is_some())
            };
            let book = this.book.borrow();
            let mut offers = BTreeMap::from_iter(book.offer_room(now, &evacuated, is_engine));
            let latencies = book.predict_latencies(now, &evacuated, is_engine);
            let told = latencies.into_iter().map(|(service, latency)| {
                let offered = offers.remove(&service);
                (service, latency, offered)
            });
            told.collect::<Vec<_>>()
        };
        for (service, _, offered) in &pressures {
            let label = ServiceLabel {
                service: service.to_string(),
            };
            let slots = offered.map_or(0, |room| room.slots);
            let metric = node.metrics.offered_slots.get_or_create(&label);
            metric.set(i64::from(slots));
        }
        let services = pressures
            .into_iter()
            .map(|(service, pressure, offered)| {
                let first_byte_ms = pressure.first_byte.as_millis() as u64;
                (
                    service,
                    first_byte_ms,
                    pressure.event_gap.as_millis() as u64,
                    offered,
                )
            })
            .collect::<Vec<_>>();
        let mut others = this
            .relays_of_other_regions(node)
            .into_values()
            .flatten()
            .collect::<Vec<_>>();
        while others.len() > Self::PRESSURE_FAN_OUT {
            let index = this.rng.borrow_mut().random_range(0..others.len());
            others.swap_remove(index);
        }
        for vm in others {
            let message = PeerMessage::Pressure {
                region: node.settings.region.clone(),
                services: services.clone(),
            };
            node.send(&vm, message);
        }
    }
}

/// Returns the VM of a membership entry if it is in `region` and serves callers or forwarded
/// requests.
///
/// VMs that accept forwarded requests count even before they accept callers. Otherwise each of
/// several VMs that start together would consider itself alone and send a cold upstream the full
/// load that it can bear.
fn serving_vm_in(entry: &VmEntry, region: &str) -> Option<RegionVm> {
    let record = &entry.record;
    let serves = record.takes_callers || record.forwards.is_some();
    (*record.region == *region && serves).then(|| RegionVm {
        capacity: record.capacity,
        is_staying: !record.leaving,
        vm: record.vm.clone(),
        zone: record.zone.clone(),
    })
}
