use super::*;

/// Upstreams known to a VM from the list and from their answers, with the selection of one for each
/// request.
///
/// Each VM decides by itself, from what it has sent and what answers reported. VMs agree without a
/// message on the engine that caches a shared part of prompts, by rendezvous hashing.
#[derive(Clone, Debug)]
pub struct UpstreamBook {
    /// Region of this VM.
    pub(super) own_region: RegionId,
    /// Prompt prefixes known to be cached by engines.
    pub(super) caches: CacheDirectory,
    /// Times that whole answers take, by service and class of length.
    pub(super) answer_times: FxHashMap<(ServiceId, CallKind, u32), AnswerTimeMeter>,
    /// Exchange of load messages with the other VMs of the region.
    pub(super) exchange: LoadExchange,
    /// Live VMs of the region.
    pub(super) vms: LiveVms,
    /// Part of all upstreams that the list covers.
    pub(super) list_scope: ListScope,
    /// Upstreams that have requests of this VM.
    pub(super) busy: BTreeSet<UpstreamId>,
    /// Upstreams of which a limit is or was lately known.
    pub(super) limited: BTreeSet<UpstreamId>,
    /// Last engine whose known reading this VM has told in the present round, if there is one.
    pub(super) last_known_speed: Option<UpstreamId>,
    /// Time from which this VM, as a relay, tells all that it knows of engines' reading.
    pub(super) next_known_speeds: Duration,
    /// Upstreams that have announced a pause or their leaving in an answer.
    pub(super) noticed: BTreeSet<UpstreamId>,
    /// Software versions of each service that the lists have shown.
    pub(super) software: SoftwareHistory,
    /// State of each upstream on the list.
    pub(super) upstreams: BTreeMap<UpstreamId, KnownUpstream>,
    /// Upstreams by the short name that messages use.
    pub(super) instances_by_key: FxHashMap<UpstreamKey, UpstreamId>,
    /// Predicted latencies in other regions, with the times at which they were reported.
    pub(super) region_latencies: FxHashMap<(RegionId, ServiceId), (Duration, ServiceLatency)>,
    /// Requests that arrived from other regions, by service.
    pub(super) region_arrivals: FxHashMap<ServiceId, ArrivalMeter>,
    /// This VM's parts of the room that other regions offer.
    pub(super) region_budgets: FxHashMap<(RegionId, ServiceId), RegionBudget>,
    /// Number of VMs of each region that serve callers.
    pub(super) region_vms: BTreeMap<RegionId, usize>,
    /// Requests that wait on this VM for room of a service.
    pub(super) waiting: FxHashMap<ServiceId, u32>,
    /// Network round trip of a request to another region and of its first byte.
    pub(super) region_round_trip: Duration,
    /// Time between stream events of the engines of this region, by service.
    pub(super) event_gaps: FxHashMap<ServiceId, EventGapMeter>,
    /// Time of the next look at shares of limits that change with time alone.
    pub(super) next_share_update: Duration,
    /// This VM's own path to the upstreams of each service.
    pub(super) paths: PathHealth,
    /// Disabled features of the selection.
    disabled_mechanisms: BTreeSet<Mechanism>,
    /// Region of each availability zone.
    pub(super) zones: BTreeMap<ZoneId, RegionId>,
    /// Zones whose upstreams have become unreachable.
    pub(super) zone_health: ZoneHealth,
}

impl UpstreamBook {
    /// Time for which a latency reported by another region is used.
    pub(super) const REGION_LATENCY_LIFETIME: Duration = Duration::from_secs(2);
    /// Delay added to the predicted time to the first byte while no upstream has room. A region that
    /// reports at least this delay has no room.
    pub(super) const NO_ROOM_DELAY: Duration = Duration::from_millis(1_000);
    /// Default time between two reads of the list of upstreams.
    const DEFAULT_READ_INTERVAL: Duration = Duration::from_secs(1);
    /// Default one-way network delay between regions.
    pub const DEFAULT_REGION_DELAY: Duration = Duration::from_millis(60);
    /// Share of the first-byte target, in permille, within which an answer should begin at its
    /// upstream. The rest is for the network and for waiting before the request is sent. The
    /// reading of the prompt itself counts as well: with a small share, the windows shrink for long
    /// prompts that did not wait for anything, and requests are refused beside engines with room.
    const START_TARGET_PERMILLE: u32 = 350;

    /// Creates the book of the VM `own` at `place`; `zones` maps each availability zone to its
    /// region.
    #[must_use]
    pub fn new(own: VmId, place: Place, zones: BTreeMap<ZoneId, RegionId>) -> Self {
        Self {
            own_region: place.region,
            answer_times: FxHashMap::default(),
            caches: CacheDirectory::default(),
            exchange: LoadExchange::new(own.clone(), place.zone),
            vms: LiveVms::new(own.clone()),
            list_scope: ListScope::default(),
            busy: BTreeSet::new(),
            limited: BTreeSet::new(),
            last_known_speed: None,
            next_known_speeds: Duration::ZERO,
            noticed: BTreeSet::new(),
            software: SoftwareHistory::new(Self::DEFAULT_READ_INTERVAL),
            upstreams: BTreeMap::new(),
            instances_by_key: FxHashMap::default(),
            region_latencies: FxHashMap::default(),
            region_arrivals: FxHashMap::default(),
            region_budgets: FxHashMap::default(),
            region_vms: BTreeMap::new(),
            waiting: FxHashMap::default(),
            region_round_trip: 2 * Self::DEFAULT_REGION_DELAY,
            event_gaps: FxHashMap::default(),
            next_share_update: Duration::ZERO,
            paths: PathHealth::default(),
            disabled_mechanisms: BTreeSet::new(),
            zones,
            zone_health: ZoneHealth::new(own),
        }
    }

    /// Replaces the default one-way network delay between regions.
    #[must_use]
    pub fn with_region_delay(mut self, delay: Duration) -> Self {
        self.region_round_trip = 2 * delay;
        self
    }

    /// Replaces the default time between two reads of the list of upstreams.
    #[must_use]
    pub fn with_read_interval(mut self, interval: Duration) -> Self {
        self.software = SoftwareHistory::new(interval);
        self
    }

    /// Disables features of the selection, to measure their effect.
    #[must_use]
    pub fn with_disabled_mechanisms(mut self, mechanisms: BTreeSet<Mechanism>) -> Self {
        self.disabled_mechanisms = mechanisms;
        self
    }

    /// Returns whether a feature of the selection is in use, so not disabled for an experiment.
    #[must_use]
    pub fn is_enabled(&self, mechanism: Mechanism) -> bool {
        !self.disabled_mechanisms.contains(&mechanism)
    }

    /// Returns whether the request may be sent to the upstream `instance`, even if that one has
    /// recently failed to answer.
    #[must_use]
    pub fn can_send_to(&self, now: Duration, query: &ChoiceQuery, instance: &str) -> bool {
        let known = self.upstreams.get(instance);
        known.is_some_and(|known| self.is_open(now, query, known))
    }

    /// Records how an attempt ended, `waited` after it was sent.
    pub fn record_attempt_end(
        &mut self,
        now: Duration,
        instance: &str,
        end: AttemptEnd,
        waited: Duration,
    ) {
        let Some(known) = self.upstreams.get_mut(instance) else {
            return;
        };
        known.in_flight = known.in_flight.saturating_sub(1);
        if let Some(is_reached) = end.is_upstream_reached() {
            // A miss that may be due to this VM's own path says nothing to the others.
            let is_told = is_reached || !self.paths.is_suspect(&known.listed.service);
            self.zone_health
                .record_contact(now, &known.listed.zone, is_reached, is_told);
        }
        if known.under_way().is_idle() {
            self.busy.remove(instance);
        }
        if let Some(pause) = &mut known.pause {
            pause.record_end();
        }
        match end {
            AttemptEnd::Answered => {
                known.reset_backoff();
                known.update_failure_rate(false);
                known.measure_call(waited);
            }
            AttemptEnd::Closed => known.reset_backoff(),
            AttemptEnd::Cancelled
            | AttemptEnd::Departing
            | AttemptEnd::Quarantined
            | AttemptEnd::Shed => {}
            AttemptEnd::Failed | AttemptEnd::Lost => known.update_failure_rate(true),
            AttemptEnd::AddressReused => known.is_address_reused = true,
            AttemptEnd::TimedOut => known.start_backoff(now),
            AttemptEnd::Unreachable => {
                known.start_backoff(now);
                known.sent_prefixes.clear();
                self.caches
                    .remove_engines(&FxHashSet::from_iter([known.key]));
            }
        }
    }

    /// Records that the first byte of an answer arrived `waited` after the request was sent, or
    /// with `None` that it never will. `unread` are the prompt tokens that were reserved for the
    /// request.
    pub fn record_first_byte(
        &mut self,
        now: Duration,
        instance: &str,
        unread: Tokens,
        first_byte_target: Duration,
        waited: Option<Duration>,
    ) {
        self.measure_read(now, instance, unread, waited);
        let Some(known) = self.upstreams.get_mut(instance) else {
            return;
        };
        if let Some(waited) = waited {
            known.pause = known.pause.filter(|pause| !pause.remaining(now).is_zero());
            let others = self.exchange.load_at(known.key).unread;
            if known.is_usual_now(now) {
                known.measure_reading(known.work_window.used().max(unread) + others, waited);
            }
            let target = first_byte_target * Self::START_TARGET_PERMILLE / 1_000;
            known
                .work_window
                .adjust_limit(now, waited, target, unread, others);
        }
        known.work_window.release(unread);
        if known.under_way().is_idle() {
            self.busy.remove(instance);
        }
    }

    /// Records that an engine has begun an answer: it has read the whole prompt and caches these
    /// prefixes of it, for requests that only the regions `homes` may serve, or any region if
    /// `None`.
    pub fn record_cached_prefixes(
        &mut self,
        now: Duration,
        instance: &UpstreamId,
        prefixes: &[SharedPrefix],
        homes: Option<&BTreeSet<RegionId>>,
    ) {
        for prefix in prefixes {
            let cached = CachedPrefix {
                homes: homes.cloned(),
                instance: UpstreamKey::from(&**instance),
                prefix: prefix.id,
            };
            self.caches.record_cached(now, &cached);
        }
    }

    /// Takes the newly cached prefixes to be sent to other regions; one VM of each region is
    /// enough. If the list covers the own region only, there are none: no VM knows the engines of
    /// another region that it could import from.
    pub fn take_caches_for_regions(&mut self) -> Vec<CachedPrefix> {
        let mut cached = self.caches.take_for_other_regions();
        if !self.lists_other_regions() {
            cached.clear();
        }
        cached
    }

    /// Records the cached prefixes that a VM of another region reports.
    pub fn receive_region_caches(&mut self, now: Duration, cached: Vec<CachedPrefix>) {
        if self.is_enabled(Mechanism::ToldCaches) && self.lists_other_regions() {
            self.caches
                .record_reported(now, cached, CacheNewsOrigin::OtherRegion);
        }
    }

    /// Processes a load message of another VM of the region. Returns the upstreams whose limits it
    /// changes, with the limits now in force.
    pub fn receive_load_message(
        &mut self,
        now: Duration,
        from: &VmId,
        mut message: LoadMessage,
    ) -> Vec<(UpstreamId, Option<UpstreamLimit>)> {
        match message {
            LoadMessage::Contacts { zones } => {
                self.zone_health.record_reported(now, &zones);
                self.exchange.forward_contacts(from, &zones);
                return Vec::new();
            }
            LoadMessage::Limits { news } => return self.receive_limits(now, from, news),
            LoadMessage::Speeds { news } => {
                self.receive_speeds(now, from, news);
                return Vec::new();
            }
            _ => {}
        }
        if let LoadMessage::Region {
            region_latencies: pressures,
            ..
        } = &message
        {
            for reported in pressures {
                let at = now.saturating_sub(Duration::from_millis(reported.age_ms));
                let latency = ServiceLatency {
                    event_gap: Duration::from_millis(reported.event_gap_ms),
                    first_byte: Duration::from_millis(reported.first_byte_ms),
                    offered: reported.offered,
                };
                self.record_region_latency(at, &reported.region, reported.service.clone(), latency);
            }
        }
        let (cached, origin) = message.take_cached();
        let fresh = match self.is_enabled(Mechanism::ToldCaches) {
            true => self.caches.record_reported(now, cached, origin),
            false => Vec::new(),
        };
        if self.is_enabled(Mechanism::PeerLoads) {
            self.exchange.handle_message(now, from, message);
            self.exchange.forward_cached(&fresh, origin);
        }
        Vec::new()
    }

    /// Returns the load messages to be sent to other VMs of the region now.
    pub fn build_load_messages(&mut self, now: Duration) -> Vec<(VmId, LoadMessage)> {
        self.caches.remove_expired(now);
        self.expire_shares(now);
        self.report_limits_again(now);
        self.average_peer_loads(now);
        self.report_known_speeds(now);
        let contacts = self.zone_health.take_pending(now);
        self.exchange.report_contacts(&contacts);
        let cached = self.caches.take_for_region();
        let latencies = self.recent_region_latencies(now);
        let messages = self
            .exchange
            .build_messages(now, self.under_way(now), cached, &latencies);
        if !self.exchange.is_relay() {
            // Only the relay sends cached prefixes to the other regions.
            self.caches.take_for_other_regions();
        }
        messages
    }

    /// Returns the time between two calls of [`Self::build_load_messages`].
    #[must_use]
    pub fn load_message_interval(&self) -> Duration {
        self.exchange.message_interval()
    }

    /// Returns the VMs that relay load messages in the region.
    pub fn relays(&self) -> impl Iterator<Item = VmId> {
        self.exchange.relays().cloned()
    }

    /// Returns the VMs that report their load to this one.
    #[must_use]
    pub fn reporters(&self) -> BTreeSet<VmId> {
        self.exchange.reporters().cloned().collect()
    }

    /// Returns whether this VM relays load messages and tells other regions what its region knows.
    #[must_use]
    pub fn is_relay(&self) -> bool {
        self.exchange.is_relay()
    }

    /// Returns whether a queued request may now find room for `work` prompt tokens, at an upstream
    /// of the own region or in another region that has reported room.
    #[must_use]
    pub fn has_room(&self, now: Duration, service: &str, is_engine: bool, work: u64) -> bool {
        let mut upstreams = self.upstreams.values();
        let here = upstreams.any(|known| {
            *known.listed.service == *service
                && self.is_local(known)
                && !known.is_leaving()
                && self.can_accept(now, known, is_engine, work)
        });
        let mut regions = self.region_latencies.iter();
        here || regions.any(|((region, of), (at, latency))| {
            let is_fresh = now.saturating_sub(*at) < Self::REGION_LATENCY_LIFETIME;
            **of == *service
                && is_fresh
                && latency.first_byte < Self::NO_ROOM_DELAY
                && self.may_send_away(now, region, service, if is_engine { work } else { 0 })
        })
    }

    /// Records that a request with `unread` prompt tokens is sent to `instance`.
    pub fn record_sent(
        &mut self,
        now: Duration,
        query: &ChoiceQuery,
        instance: &str,
        unread: Tokens,
    ) {
        let others = self.exchange.load_at(UpstreamKey::from(instance));
        let Some(known) = self.upstreams.get_mut(instance) else {
            return;
        };
        if query.prompt.is_some() {
            known.record_sent_read(now, unread, others);
        }
        known.in_flight += 1;
        if !self.busy.contains(instance) {
            self.busy.insert(instance.into());
        }
        known.sent_since_report += 1;
        known.work_window.reserve(unread);
        let senders = self.vms.cold_sender_count(instance).unwrap_or(1);
        if now < known.cold_until && query.cold.per_s > 0.0 {
            known
                .cold_limiter
                .record_sent(now, query.cold.per_s, senders);
        }
        if let Some(named) = &mut known.limit {
            named.record_sent(now);
        }
        if let Some(pause) = &mut known.pause {
            pause.record_sent(now);
        }
        if let Some(prompt) = query.prompt {
            known.sent_prefixes.record_prompt(prompt);
        }
    }

    /// Replaces the live VMs of the region.
    pub fn set_vms(&mut self, now: Duration, vms: &[RegionVm]) {
        self.vms
            .update_live(now, vms.iter().map(|vm| vm.vm.clone()));
        self.exchange.set_vms(vms);
        self.update_shares(now);
    }

    /// Returns the requests that this VM has in flight, by upstream.
    fn under_way(&self, now: Duration) -> UpstreamLoads {
        let busy = self.busy.iter();
        let busy = busy.filter_map(|instance| self.upstreams.get(instance));
        let loads = busy.map(|known| (known.key, known.under_way()));
        loads.chain(self.service_loads(now)).collect()
    }

    /// Returns the requests that the other VMs of the region have in flight at an upstream.
    ///
    /// VMs hear of one another late. Where an upstream tells how long work takes, all of them leave a
    /// slow one together, so the prompts that others have lately had there count beside the last
    /// reports. Otherwise all would move to the upstreams that were idle in these reports.
    pub(super) fn peer_load(&self, known: &KnownUpstream) -> UnderWay {
        let mut load = self.exchange.load_at(known.key);
        if known.momentary_speed.is_told() {
            let average = known.others_unread.value() as Tokens;
            load.unread = load.unread.midpoint(average);
        }
        load
    }

    /// Returns whether an upstream is in the own region.
    pub(super) fn is_local(&self, known: &KnownUpstream) -> bool {
        known.region.as_ref() == Some(&self.own_region)
    }
}
