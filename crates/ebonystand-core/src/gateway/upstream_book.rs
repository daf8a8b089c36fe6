use super::*;

/// The upstreams that a VM knows of from the list, what it has seen of them, and the choice between
/// them.
///
/// Each VM decides by itself on what it has sent and what it was told with answers. VMs agree
/// without a message where a prompt's shared parts are kept, by rendezvous hashing.
#[derive(Clone, Debug)]
pub struct UpstreamBook {
    here: RegionId,
    peer_loads: PeerLoads,
    vms: RegionVms,
    upstreams: BTreeMap<UpstreamId, KnownUpstream>,
    /// Predicted time to the first byte in other regions, with when it was told.
    away: FxHashMap<(RegionId, ServiceId), (Duration, Duration)>,
    zones: BTreeMap<ZoneId, RegionId>,
}

impl UpstreamBook {
    /// Delay to assume of another region that has told nothing.
    const AWAY_UNKNOWN: Duration = Duration::from_millis(300);
    /// Delay told to other regions beyond the predicted one while no upstream has room.
    const FULL: Duration = Duration::from_millis(1_000);
    /// What another region told counts for so long.
    const AWAY_LIFE: Duration = Duration::from_secs(2);
    /// Network time of a request that is sent away and of its first byte, there and back.
    const AWAY_TRIP: Duration = Duration::from_millis(130);
    /// Part of its aim, in permille, up to which a request stays in its region. Sending away costs
    /// bytes between regions, which are scarce, and a cold prefix.
    const STAYS_PERMILLE: u32 = 300;
    /// Part of its aim, in permille, within which an answer is to begin at its upstream. The rest is
    /// for the way there and back and for waiting before; and what is read without a pause keeps the
    /// streams that run from ending in time.
    const BEGINS_PERMILLE: u32 = 350;
    /// What reading a token costs others, in times the delay of the request itself: those that come
    /// behind it and the streams that run wait as long. Without it, prompts leave the upstream that
    /// keeps what they share for gains smaller than what they cost; with it, both users' heaviest
    /// days were worth more (0.832 to 0.877 and 0.683 to 0.693 over all days, one play each, at 2; 5
    /// is no worse).
    const READING_COSTS: u32 = 5;
    /// An upstream that appears on the list, or whose zone comes back, counts as cold for so long
    /// at least: the list lags, and may not say yet that it is.
    const NEW_IS_COLD: Duration = Duration::from_millis(2_000);
    /// Shortest time after which a refused caller is asked to come back.
    const SHORTEST_RETRY: Duration = Duration::from_millis(250);
    /// Longest such time.
    const LONGEST_RETRY: Duration = Duration::from_secs(2);

    /// Book of the VM `own` in region `here`.
    #[must_use]
    pub fn new(own: VmId, here: RegionId, zones: BTreeMap<ZoneId, RegionId>) -> Self {
        Self {
            here,
            peer_loads: PeerLoads::default(),
            vms: RegionVms::new(own),
            upstreams: BTreeMap::new(),
            away: FxHashMap::default(),
            zones,
        }
    }

    /// Whether an upstream may be sent to.
    #[must_use]
    pub fn admits(&self, now: Duration, query: &ChoiceQuery, instance: &str) -> bool {
        let known = self.upstreams.get(instance);
        known.is_some_and(|known| self.is_open(now, query, known))
    }

    /// Chooses where a request goes.
    #[must_use]
    pub fn choose(&self, now: Duration, query: &ChoiceQuery) -> Choice {
        let here = self.choose_here(now, query);
        let (predicted, stays) = match &here {
            Choice::Here {
                is_sound,
                predicted,
                ..
            } => {
                let most = query.aim * Self::STAYS_PERMILLE / 1_000;
                (Some(*predicted), *is_sound && *predicted <= most)
            }
            Choice::Full { predicted } => (Some(*predicted + Self::FULL), false),
            _ => (None, false),
        };
        if stays {
            return here;
        }
        let is_sound = matches!(here, Choice::Here { is_sound: true, .. });
        let predicted = predicted.filter(|_| is_sound || matches!(here, Choice::Full { .. }));
        match self.choose_away(now, query) {
            Some((region, there)) if predicted.is_none_or(|predicted| there < predicted) => {
                Choice::Away {
                    here: predicted,
                    predicted: there,
                    region,
                }
            }
            _ => here,
        }
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
            AttemptEnd::TimedOut | AttemptEnd::Unreachable => known.failed(now),
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
            let others = self.peer_loads.at(instance).unread;
            known.measure_reading(known.window.used().max(unread) + others, waited);
            let target = aim * Self::BEGINS_PERMILLE / 1_000;
            known.window.observe(now, waited, target, unread, others);
        }
        known.window.give(unread);
    }

    /// Whether an upstream of the own region has room for a request.
    #[must_use]
    pub fn has_room(&self, now: Duration, service: &str, is_engine: bool, work: u64) -> bool {
        self.upstreams.values().any(|known| {
            *known.listed.service == *service
                && self.region(known) == Some(&self.here)
                && !known.listed.leaving
                && known.has_room(now, is_engine, work, self.others(known))
        })
    }

    /// Takes over the list. An upstream that is not on it any more is forgotten.
    pub fn list(&mut self, now: Duration, listed: Vec<ListedUpstream>) {
        let mut next = BTreeMap::new();
        let is_first = self.upstreams.is_empty();
        for upstream in listed {
            let instance = upstream.instance.clone();
            let known = match self.upstreams.remove(&instance) {
                Some(known) if known.listed.address == upstream.address => {
                    Self::relisted(now, known, upstream)
                }
                _ => Self::appeared(now, upstream, is_first),
            };
            next.insert(instance, known);
        }
        self.upstreams = next;
    }

    /// Upstreams that are known, by name.
    pub fn listed(&self) -> impl Iterator<Item = &ListedUpstream> {
        self.upstreams.values().map(|known| &known.listed)
    }

    /// Predicted time to the first byte for each service served in this region, for VMs of other
    /// regions: of a call, or of a prompt without its own reading, which depends on its length.
    /// `is_engine` tells which services read prompts.
    #[must_use]
    pub fn pressures(
        &self,
        now: Duration,
        evacuated: &BTreeSet<ZoneId>,
        is_engine: impl Fn(&str) -> bool,
    ) -> Vec<(ServiceId, Duration)> {
        let services: BTreeSet<_> = self.upstreams.values().map(|u| &u.listed.service).collect();
        let reachable = BTreeSet::new();
        let empty = Prompt::default();
        let predicted = |service: &ServiceId| {
            let query = ChoiceQuery {
                aim: Duration::MAX,
                cold: ColdTerms::default(),
                evacuated,
                excluded: &[],
                homes: None,
                left: Duration::MAX,
                prompt: is_engine(service).then_some(&empty),
                reachable: &reachable,
                service,
            };
            match self.choose_here(now, &query) {
                Choice::Here { predicted, .. } => Some((service.clone(), predicted)),
                // Whoever would send more here is told to wait as long as a request here does.
                Choice::Full { predicted } => Some((service.clone(), predicted + Self::FULL)),
                Choice::Away { .. } | Choice::Nowhere { .. } => None,
            }
        };
        services.into_iter().filter_map(predicted).collect()
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

    /// Takes over which VMs of the region live, and forgets what those told that have fallen silent.
    pub fn set_vms(&mut self, now: Duration, live: impl IntoIterator<Item = VmId>) {
        self.vms.set(live);
        self.peer_loads.forget_silent(now);
    }

    /// Takes what another VM of the region has under way.
    pub fn peer_told(&mut self, now: Duration, vm: VmId, under_way: Vec<(UpstreamId, UnderWay)>) {
        self.peer_loads.tell(now, vm, under_way);
    }

    /// What this VM has under way, for the others of the region.
    #[must_use]
    pub fn under_way(&self) -> Vec<(UpstreamId, UnderWay)> {
        let all = self.upstreams.iter();
        let all = all.map(|(instance, known)| (instance.clone(), known.under_way()));
        all.filter(|(_, under_way)| !under_way.is_none()).collect()
    }

    /// Notes that another region had no room for a request. None is sent there until it tells of
    /// room: each would cost a round trip and its bytes, and a part of its caller's time.
    pub fn refused_away(&mut self, now: Duration, region: &RegionId, service: &str) {
        let key = (region.clone(), ServiceId::from(service));
        self.away.insert(key, (now, Self::FULL));
    }

    /// Takes what a VM of another region predicts there.
    pub fn told(
        &mut self,
        now: Duration,
        region: &RegionId,
        pressures: Vec<(ServiceId, Duration)>,
    ) {
        for (service, predicted) in pressures {
            self.away
                .insert((region.clone(), service), (now, predicted));
        }
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

    fn appeared(now: Duration, upstream: ListedUpstream, is_first: bool) -> KnownUpstream {
        let lag = match is_first {
            true => Duration::ZERO,
            false => Self::NEW_IS_COLD,
        };
        let cold_until = now + upstream.cold_for.max(lag);
        KnownUpstream::new(upstream, cold_until)
    }

    fn choose_away(&self, now: Duration, query: &ChoiceQuery) -> Option<(RegionId, Duration)> {
        let regions = query.reachable.iter();
        let regions = regions.filter(|region| **region != self.here && query.allows(region));
        regions
            .filter_map(|region| {
                let served = self.upstreams.values().any(|known| {
                    self.region(known) == Some(region) && self.is_usable(query, known)
                });
                let delay = self.delay_away(now, region, query);
                delay
                    .filter(|_| served)
                    .map(|delay| (region.clone(), delay))
            })
            .min_by_key(|(_, delay)| *delay)
    }

    fn choose_here(&self, now: Duration, query: &ChoiceQuery) -> Choice {
        let mut candidates = self.candidates(query, |known| self.is_candidate(now, query, known));
        let is_sound = !candidates.is_empty();
        if !is_sound {
            // All have failed lately. One of them may be back; where no other region can serve the
            // request either, to refuse would be worse.
            candidates = self.candidates(query, |known| self.is_open(now, query, known));
        }
        let shared = query.prompt.and_then(Prompt::shared);
        let owner = shared.and_then(|shared| {
            let names = candidates.iter().map(|known| &known.listed.instance);
            Rendezvous::new(shared).owner(names).cloned()
        });
        let best = candidates.iter().map(|known| {
            let is_owner = owner.as_ref() == Some(&known.listed.instance);
            let others = self.others(known);
            let unread = Self::unread(known, query.prompt, is_owner);
            let delay = match query.prompt {
                Some(_) => known.engine_delay(now, unread, others),
                None => known.call_delay(now, others),
            };
            let has_room = known.has_room(now, query.prompt.is_some(), unread, others);
            let cost = known.weighed(delay) + known.reading(unread) * Self::READING_COSTS;
            (!has_room, cost, delay, unread, *known)
        });
        let best = best.min_by_key(|(full, cost, _, _, known)| (*full, *cost, known.in_flight));
        let Some((full, _, predicted, unread, known)) = best else {
            return Choice::Nowhere {
                because: self.unfit(now, query),
                retry_after: self.opens_after(now, query),
            };
        };
        if full {
            return Choice::Full { predicted };
        }
        Choice::Here {
            address: known.listed.address,
            candidates: u32::try_from(candidates.len()).unwrap_or(u32::MAX),
            instance: known.listed.instance.clone(),
            is_sound,
            predicted,
            report_age: known.report(now).map(|(age, _)| age),
            unread,
        }
    }

    /// Predicted time to the first byte in another region; `None` while that has no room.
    fn delay_away(
        &self,
        now: Duration,
        region: &RegionId,
        query: &ChoiceQuery,
    ) -> Option<Duration> {
        let key = (region.clone(), ServiceId::from(query.service));
        let told = self.away.get(&key);
        let told = told.filter(|(at, _)| now.saturating_sub(*at) < Self::AWAY_LIFE);
        let reading = query.prompt.map_or(Duration::ZERO, |prompt| {
            Duration::from_millis(prompt.input / 50)
        });
        let told = told.map_or(Self::AWAY_UNKNOWN, |(_, delay)| *delay);
        (told < Self::FULL).then_some(Self::AWAY_TRIP + reading + told)
    }

    fn candidates<'a>(
        &'a self,
        query: &ChoiceQuery,
        admits: impl Fn(&KnownUpstream) -> bool,
    ) -> Vec<&'a KnownUpstream> {
        let here = self.upstreams.values();
        here.filter(|known| *known.listed.service == *query.service && admits(known))
            .collect()
    }

    fn is_candidate(&self, now: Duration, query: &ChoiceQuery, known: &KnownUpstream) -> bool {
        now >= known.suspect_until && self.is_open(now, query, known)
    }

    /// Whether an upstream may be sent to, leaving aside whether it answers.
    fn is_open(&self, now: Duration, query: &ChoiceQuery, known: &KnownUpstream) -> bool {
        let is_here = self.region(known) == Some(&self.here);
        let is_warm = now >= known.cold_until || query.cold.per_s <= 0.0;
        let is_open = is_warm || self.opens(known).is_some_and(|at| now >= at);
        is_here
            && query.allows(&self.here)
            && self.is_usable(query, known)
            && is_open
            && !query.excluded.contains(&known.listed.instance)
    }

    fn is_usable(&self, query: &ChoiceQuery, known: &KnownUpstream) -> bool {
        *known.listed.service == *query.service
            && !known.is_gone
            && !known.listed.leaving
            && !query.evacuated.contains(&known.listed.zone)
    }

    /// When the first upstream may be sent to again.
    fn opens_after(&self, now: Duration, query: &ChoiceQuery) -> Duration {
        let opens = self
            .upstreams
            .values()
            .filter(|known| self.region(known) == Some(&self.here) && self.is_usable(query, known));
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

    /// What the other VMs of the region have under way at an upstream.
    fn others(&self, known: &KnownUpstream) -> UnderWay {
        self.peer_loads.at(&known.listed.instance)
    }

    fn region(&self, known: &KnownUpstream) -> Option<&RegionId> {
        self.zones.get(&known.listed.zone)
    }

    fn relisted(
        now: Duration,
        mut known: KnownUpstream,
        upstream: ListedUpstream,
    ) -> KnownUpstream {
        if !upstream.cold_for.is_zero() {
            if now >= known.cold_until {
                known.prefixes.clear();
            }
            known.cold_until = known.cold_until.max(now + upstream.cold_for);
        }
        known.listed = upstream;
        known
    }

    /// Tokens that an upstream would have to read. The owner of the shared parts is taken to keep
    /// them: whichever VM sent them first, it sent them there.
    fn unfit(&self, now: Duration, query: &ChoiceQuery) -> Unfit {
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
                () if self.region(known) != Some(&self.here) => &mut unfit.elsewhere,
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

    fn unread(known: &KnownUpstream, prompt: Option<&Prompt>, is_owner: bool) -> Tokens {
        prompt.map_or(0, |prompt| {
            let shared = if is_owner { prompt.shared_tokens() } else { 0 };
            let kept = known.prefixes.kept(prompt).max(shared);
            prompt.input.saturating_sub(kept)
        })
    }
}
