use super::*;

/// The upstreams that a VM knows of from the list, what it has seen of them, and the choice between
/// them.
///
/// Each VM decides by itself on what it has sent and what it was told with answers. VMs agree
/// without a message where a prompt's shared parts are kept, by rendezvous hashing.
#[derive(Clone, Debug)]
pub struct UpstreamBook {
    pub(super) here: RegionId,
    pub(super) caches: CacheDirectory,
    exchange: LoadExchange,
    vms: RegionVms,
    pub(super) upstreams: BTreeMap<UpstreamId, KnownUpstream>,
    pub(super) by_key: FxHashMap<UpstreamKey, UpstreamId>,
    /// What requests have to expect in other regions, with when it was told.
    pub(super) away: FxHashMap<(RegionId, ServiceId), (Duration, Pressure)>,
    /// Network time of a request that is sent away and of its first byte, there and back.
    pub(super) away_trip: Duration,
    /// How fast the engines of this region answer.
    pub(super) paces: FxHashMap<ServiceId, StreamPace>,
    /// Mechanisms that an experiment leaves out.
    without: BTreeSet<Mechanism>,
    zones: BTreeMap<ZoneId, RegionId>,
}

impl UpstreamBook {
    /// What another region told counts for so long.
    pub(super) const AWAY_LIFE: Duration = Duration::from_secs(2);
    /// Delay told to other regions beyond the predicted one while no upstream has room.
    pub(super) const FULL: Duration = Duration::from_millis(1_000);
    /// Delay between regions, one way, unless the settings say otherwise.
    pub const REGION_DELAY: Duration = Duration::from_millis(60);
    /// Part of its aim, in permille, within which an answer is to begin at its upstream. The rest is
    /// for the way there and back and for waiting before. A prompt's own reading is part of it: at 350 the
    /// windows narrowed for long prompts that nothing had kept waiting, and requests were refused beside
    /// engines with room (mean worth of five days with trouble, two plays each, 0.658 at 350, 0.665 at 500,
    /// 0.656 at 700).
    const BEGINS_PERMILLE: u32 = 350;
    /// An upstream that appears on the list, or whose zone comes back, counts as cold for so long
    /// at least: the list lags, and may not say yet that it is.
    const NEW_IS_COLD: Duration = Duration::from_millis(2_000);
    /// Shortest time after which a refused caller is asked to come back.
    const SHORTEST_RETRY: Duration = Duration::from_millis(250);
    /// Longest such time.
    const LONGEST_RETRY: Duration = Duration::from_secs(2);

    /// Book of the VM `own` that stands at `place`.
    #[must_use]
    pub fn new(own: VmId, place: Place, zones: BTreeMap<ZoneId, RegionId>) -> Self {
        Self {
            here: place.region,
            caches: CacheDirectory::default(),
            exchange: LoadExchange::new(own.clone(), place.zone),
            vms: RegionVms::new(own),
            upstreams: BTreeMap::new(),
            by_key: FxHashMap::default(),
            away: FxHashMap::default(),
            away_trip: 2 * Self::REGION_DELAY,
            paces: FxHashMap::default(),
            without: BTreeSet::new(),
            zones,
        }
    }

    /// Goes by another delay between regions, one way.
    #[must_use]
    pub fn with_region_delay(mut self, delay: Duration) -> Self {
        self.away_trip = 2 * delay;
        self
    }

    /// Leaves mechanisms out, for an experiment.
    #[must_use]
    pub fn without(mut self, mechanisms: BTreeSet<Mechanism>) -> Self {
        self.without = mechanisms;
        self
    }

    /// Whether a mechanism is used.
    #[must_use]
    pub fn uses(&self, mechanism: Mechanism) -> bool {
        !self.without.contains(&mechanism)
    }

    /// Whether an upstream may be sent to.
    #[must_use]
    pub fn admits(&self, now: Duration, query: &ChoiceQuery, instance: &str) -> bool {
        let known = self.upstreams.get(instance);
        known.is_some_and(|known| self.is_open(now, query, known))
    }

    /// Notes how an attempt ended, `waited` after it was sent.
    pub fn ended(&mut self, now: Duration, instance: &str, end: AttemptEnd, waited: Duration) {
        let Some(known) = self.upstreams.get_mut(instance) else {
            return;
        };
        known.in_flight = known.in_flight.saturating_sub(1);
        match end {
            AttemptEnd::Answered => {
                known.worked();
                known.observe(false);
                known.measure_call(waited);
            }
            AttemptEnd::Cancelled | AttemptEnd::Shed => {}
            AttemptEnd::Failed | AttemptEnd::Lost => known.observe(true),
            AttemptEnd::Stranger => known.is_gone = true,
            AttemptEnd::TimedOut => known.failed(now),
            AttemptEnd::Unreachable => {
                known.failed(now);
                known.prefixes.clear();
                self.caches.forget(&FxHashSet::from_iter([known.key]));
            }
        }
    }

    /// Notes that the first byte of an answer came `waited` after it was sent, or never will.
    pub fn first_byte(
        &mut self,
        now: Duration,
        instance: &str,
        unread: Tokens,
        aim: Duration,
        waited: Option<Duration>,
    ) {
        let Some(known) = self.upstreams.get_mut(instance) else {
            return;
        };
        if let Some(waited) = waited {
            let others = self.exchange.at(known.key).unread;
            known.measure_reading(known.window.used().max(unread) + others, waited);
            let target = aim * Self::BEGINS_PERMILLE / 1_000;
            known.window.observe(now, waited, target, unread, others);
        }
        known.window.give(unread);
    }

    /// Notes that an engine has begun an answer: it has read the whole prompt and keeps it, for requests
    /// that the regions `homes` may serve.
    pub fn keeps(
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
            self.caches.begun(now, &cached);
        }
    }

    /// What engines keep, to tell VMs of other regions; one of each is enough.
    pub fn caches_for_others(&mut self) -> Vec<CachedPrefix> {
        self.caches.take_for_others()
    }

    /// Takes what a VM of another region tells of what engines keep.
    pub fn caches_told(&mut self, now: Duration, cached: Vec<CachedPrefix>) {
        if self.uses(Mechanism::ToldCaches) {
            self.caches.told(now, cached, CacheNews::Away);
        }
    }

    /// Takes what another VM of the region tells.
    pub fn load_told(&mut self, now: Duration, from: &VmId, mut message: LoadMessage) {
        if let LoadMessage::Region { pressures, .. } = &message {
            for told in pressures {
                let at = now.saturating_sub(Duration::from_millis(told.age_ms));
                let pressure = Pressure {
                    event_gap: Duration::from_millis(told.event_gap_ms),
                    first_byte: Duration::from_millis(told.first_byte_ms),
                };
                self.told_at(at, &told.region, told.service.clone(), pressure);
            }
        }
        let (cached, news) = message.take_cached();
        let fresh = match self.uses(Mechanism::ToldCaches) {
            true => self.caches.told(now, cached, news),
            false => Vec::new(),
        };
        if self.uses(Mechanism::PeerLoads) {
            self.exchange.receive(now, from, message);
            self.exchange.pass_on(&fresh, news);
        }
    }

    /// What the other VMs of the region are to be told now.
    pub fn load_messages(&mut self, now: Duration) -> Vec<(VmId, LoadMessage)> {
        self.caches.sweep(now);
        let cached = self.caches.take_for_region();
        let pressures = self.told_pressures(now);
        let messages = self
            .exchange
            .tick(now, self.under_way(), cached, &pressures);
        if !self.exchange.is_relay() {
            // The relay tells the other regions.
            self.caches.take_for_others();
        }
        messages
    }

    /// Time until [`Self::load_messages`] is due again.
    #[must_use]
    pub fn tells_load_every(&self) -> Duration {
        self.exchange.every()
    }

    /// The relays of the region.
    pub fn relays(&self) -> impl Iterator<Item = VmId> {
        self.exchange.relays().cloned()
    }

    /// VMs that report to this one.
    #[must_use]
    pub fn reporters(&self) -> BTreeSet<VmId> {
        self.exchange.reporters().cloned().collect()
    }

    /// Whether this VM tells other regions what it knows.
    #[must_use]
    pub fn is_relay(&self) -> bool {
        self.exchange.is_relay()
    }

    /// Whether a request that waits may find room now: at an upstream of the own region, or in another
    /// one that has told of it.
    #[must_use]
    pub fn has_room(&self, now: Duration, service: &str, is_engine: bool, work: u64) -> bool {
        let mut upstreams = self.upstreams.values();
        let here = upstreams.any(|known| {
            *known.listed.service == *service
                && self.is_here(known)
                && !known.listed.leaving
                && self.fits(now, known, is_engine, work)
        });
        let mut told = self.away.iter();
        here || told.any(|((_, of), (at, pressure))| {
            let is_fresh = now.saturating_sub(*at) < Self::AWAY_LIFE;
            **of == *service && is_fresh && pressure.first_byte < Self::FULL
        })
    }

    /// Takes over the list. An upstream that is not on it any more is forgotten.
    pub fn list(&mut self, now: Duration, listed: Vec<ListedUpstream>) {
        let mut next = BTreeMap::new();
        let mut emptied = FxHashSet::default();
        let is_first = self.upstreams.is_empty();
        for upstream in listed {
            let instance = upstream.instance.clone();
            let region = self.zones.get(&upstream.zone).cloned();
            let known = match self.upstreams.remove(&instance) {
                Some(known) if known.listed.address == upstream.address => {
                    if now >= known.cold_until && !upstream.cold_for.is_zero() {
                        emptied.insert(known.key);
                    }
                    Self::relisted(now, known, upstream, region)
                }
                _ => Self::appeared(now, upstream, region, is_first),
            };
            next.insert(instance, known);
        }
        emptied.extend(self.upstreams.values().map(|known| known.key));
        self.caches.forget(&emptied);
        self.upstreams = next;
        let known = self.upstreams.iter();
        self.by_key = known
            .map(|(instance, known)| (known.key, instance.clone()))
            .collect();
    }

    /// Upstreams that are known, by name.
    pub fn listed(&self) -> impl Iterator<Item = &ListedUpstream> {
        self.upstreams.values().map(|known| &known.listed)
    }

    /// Notes the load that an upstream told.
    pub fn report(&mut self, now: Duration, instance: &str, slots: ReportedSlots) {
        if let Some(known) = self.upstreams.get_mut(instance) {
            known.report = Some((now, slots));
            known.sent_since = 0;
        }
    }

    /// Notes that a request is sent.
    pub fn sent(&mut self, now: Duration, query: &ChoiceQuery, instance: &str, unread: Tokens) {
        let Some(known) = self.upstreams.get_mut(instance) else {
            return;
        };
        known.in_flight += 1;
        known.sent_since += 1;
        known.window.take(unread);
        let senders = self.vms.cold_senders(instance).unwrap_or(1);
        if now < known.cold_until && query.cold.per_s > 0.0 {
            known.gate.pass(now, query.cold.per_s, senders);
        }
        if let Some(prompt) = query.prompt {
            known.prefixes.note(prompt);
        }
    }

    /// Takes over which VMs of the region live.
    pub fn set_vms(&mut self, vms: &[RegionVm]) {
        self.vms.set(vms.iter().map(|vm| vm.vm.clone()));
        self.exchange.set_vms(vms);
    }

    /// What this VM has under way.
    fn under_way(&self) -> UpstreamLoads {
        let all = self.upstreams.values();
        let all = all.map(|known| (known.key, known.under_way()));
        all.filter(|(_, under_way)| !under_way.is_none()).collect()
    }

    /// Treats the upstreams of a zone as cold: it has just come back from an evacuation, in which
    /// they may have become so.
    pub fn zone_is_back(&mut self, now: Duration, zone: &str) {
        for known in self.upstreams.values_mut() {
            if &*known.listed.zone == zone {
                known.cold_until = known.cold_until.max(now + Self::NEW_IS_COLD);
            }
        }
    }

    fn appeared(
        now: Duration,
        upstream: ListedUpstream,
        region: Option<RegionId>,
        is_first: bool,
    ) -> KnownUpstream {
        let lag = match is_first {
            true => Duration::ZERO,
            false => Self::NEW_IS_COLD,
        };
        let cold_until = now + upstream.cold_for.max(lag);
        KnownUpstream::new(upstream, region, cold_until)
    }

    pub(super) fn is_candidate(
        &self,
        now: Duration,
        query: &ChoiceQuery,
        known: &KnownUpstream,
    ) -> bool {
        now >= known.suspect_until && self.is_open(now, query, known)
    }

    /// Whether an upstream may be sent to, leaving aside whether it answers.
    pub(super) fn is_open(
        &self,
        now: Duration,
        query: &ChoiceQuery,
        known: &KnownUpstream,
    ) -> bool {
        let is_warm = now >= known.cold_until || query.cold.per_s <= 0.0;
        let is_open = is_warm || self.opens(known).is_some_and(|at| now >= at);
        self.is_here(known)
            && query.allows(&self.here)
            && self.is_usable(query, known)
            && is_open
            && !query.excluded.contains(&known.listed.instance)
    }

    pub(super) fn is_usable(&self, query: &ChoiceQuery, known: &KnownUpstream) -> bool {
        *known.listed.service == *query.service
            && !known.is_gone
            && !known.listed.leaving
            && !query.evacuated.contains(&known.listed.zone)
    }

    /// When the first upstream may be sent to again.
    ///
    /// Where none here may serve it, its regions cannot be reached, which ends when a cut does and not when an
    /// upstream here is ready: told 250 ms, callers came back to be refused a second time.
    pub(super) fn opens_after(&self, now: Duration, query: &ChoiceQuery) -> Duration {
        if !query.allows(&self.here) {
            return Self::LONGEST_RETRY;
        }
        let opens = self
            .upstreams
            .values()
            .filter(|known| self.is_here(known) && self.is_usable(query, known));
        let opens = opens.map(|known| {
            let gate = if now < known.cold_until {
                let opens = self.opens(known).unwrap_or(known.cold_until);
                opens.min(known.cold_until)
            } else {
                Duration::ZERO
            };
            gate.max(known.suspect_until).saturating_sub(now)
        });
        let opens = opens.min().unwrap_or(Self::LONGEST_RETRY);
        opens.clamp(Self::SHORTEST_RETRY, Self::LONGEST_RETRY)
    }

    /// When this VM may send to an upstream that is cold; `None` while it is.
    fn opens(&self, known: &KnownUpstream) -> Option<Duration> {
        let senders = self.vms.cold_senders(&known.listed.instance);
        senders.map(|_| known.gate.opens())
    }

    /// Whether an upstream has room for a request.
    pub(super) fn fits(
        &self,
        now: Duration,
        known: &KnownUpstream,
        is_engine: bool,
        work: u64,
    ) -> bool {
        let others = self.others(known);
        match self.uses(Mechanism::Windows) {
            true => known.has_room(now, is_engine, work, others),
            false => known.has_slot(now, is_engine, others),
        }
    }

    /// What the other VMs of the region have under way at an upstream.
    pub(super) fn others(&self, known: &KnownUpstream) -> UnderWay {
        self.exchange.at(known.key)
    }

    /// Whether an upstream stands in the own region.
    pub(super) fn is_here(&self, known: &KnownUpstream) -> bool {
        known.region.as_ref() == Some(&self.here)
    }

    fn relisted(
        now: Duration,
        mut known: KnownUpstream,
        upstream: ListedUpstream,
        region: Option<RegionId>,
    ) -> KnownUpstream {
        if !upstream.cold_for.is_zero() {
            if now >= known.cold_until {
                known.prefixes.clear();
            }
            known.cold_until = known.cold_until.max(now + upstream.cold_for);
        }
        known.listed = upstream;
        known.region = region;
        known
    }

    /// Why no upstream can serve a request.
    pub(super) fn unfit(&self, now: Duration, query: &ChoiceQuery) -> Unfit {
        let mut unfit = Unfit {
            is_home: query.allows(&self.here),
            ..Unfit::default()
        };
        let of_service = self.upstreams.values();
        let of_service = of_service.filter(|known| *known.listed.service == *query.service);
        for known in of_service {
            unfit.listed += 1;
            let is_closed = self.opens(known).is_none_or(|at| now < at);
            let is_cold = now < known.cold_until && is_closed;
            let count = match () {
                () if !self.is_here(known) => &mut unfit.elsewhere,
                () if known.listed.leaving => &mut unfit.leaving,
                () if query.evacuated.contains(&known.listed.zone) => &mut unfit.evacuated,
                () if query.excluded.contains(&known.listed.instance) => &mut unfit.excluded,
                () if is_cold => &mut unfit.cold,
                () => continue,
            };
            *count += 1;
        }
        unfit
    }
}
