//! What the scheduling of slots needs to know of the engines of the region.

use super::*;

impl UpstreamBook {
    /// Returns the engines of this region whose service `is_engine` accepts.
    #[must_use]
    pub fn slot_engines(&self, is_engine: impl Fn(&str) -> bool) -> Vec<SlotEngine> {
        let local = self.upstreams.values();
        let local = local.filter(|known| {
            let is_usable = !known.is_leaving() && !known.is_address_reused;
            self.is_local(known) && is_usable && is_engine(&known.listed.service)
        });
        let engines = local.map(|known| SlotEngine {
            key: known.key,
            service: known.listed.service.clone(),
            slots: known.listed.slots,
        });
        engines.collect()
    }

    /// Returns whether the region is small enough for each VM to tell all others its load.
    #[must_use]
    pub fn is_direct(&self) -> bool {
        self.exchange.is_direct()
    }

    /// Returns the requests that the VMs of the region, this one included, have in flight at an engine.
    #[must_use]
    pub fn known_load(&self, engine: UpstreamKey) -> UnderWay {
        let mut load = self.exchange.load_at(engine);
        let instance = self.instances_by_key.get(&engine);
        if let Some(known) = instance.and_then(|instance| self.upstreams.get(instance)) {
            load.add(known.under_way());
        }
        load
    }

    /// Returns the known load of the engines that may get a request.
    #[must_use]
    pub fn slot_pressure(&self, now: Duration, query: &ChoiceQuery) -> SlotPressure {
        let engines = self.find_candidates(query, |known| self.is_candidate(now, query, known));
        let mut pressure = SlotPressure::default();
        for known in engines {
            let load = self.known_load(known.key);
            let in_flight = load.requests.min(known.listed.slots);
            pressure.in_flight = pressure.in_flight.saturating_add(in_flight);
            pressure.slots = pressure.slots.saturating_add(known.listed.slots);
        }
        pressure
    }

    /// Returns the engines that may get a prompt now, with or without a free slot, the cheapest first.
    #[must_use]
    pub fn rank_engines(&self, now: Duration, query: &ChoiceQuery) -> Vec<RankedEngine> {
        let Some(prompt) = query.prompt else {
            return Vec::new();
        };
        let candidates = self.open_engines(now, query);
        let placement = self.place_prompt(now, query, prompt, &candidates);
        let shortlist = self.shortlist(query, &candidates, |known| placement.caches_longest(known));
        let scored = shortlist.into_iter().map(|known| {
            let scored = self.score_prompt(now, query, known, &placement);
            RankedEngine {
                cost: scored.cost,
                offer: SlotOffer {
                    engine: known.key,
                    unread: scored.unread,
                },
            }
        });
        let mut ranked = scored.collect::<Vec<_>>();
        ranked.sort_by_key(|ranked| (ranked.cost, ranked.offer.engine));
        ranked
    }

    /// Returns the choice to send a prompt to the engine that a scheduler has granted; `None` if the engine
    /// may not get it any more.
    #[must_use]
    pub fn granted_target(
        &self,
        now: Duration,
        query: &ChoiceQuery,
        engine: UpstreamKey,
    ) -> Option<TargetChoice> {
        let candidates = self.open_engines(now, query);
        let known = candidates.iter().find(|known| known.key == engine)?;
        let placement = self.place_prompt(now, query, query.prompt?, &candidates);
        let scored = self.score_prompt(now, query, known, &placement);
        Some(Self::target(now, &scored, candidates.len(), 1, true))
    }

    /// Returns the time for which a prompt is expected to hold its slot, of which an engine must read `unread`
    /// tokens.
    #[must_use]
    pub fn expected_hold(&self, now: Duration, query: &ChoiceQuery, unread: Tokens) -> Duration {
        let reading = Duration::from_secs_f64(
            unread as f64 / self.mean_reading_speed(query.service) / 1_000.0,
        );
        let (Some(prompt), Some(engine)) = (query.prompt, query.engine) else {
            return reading;
        };
        let gap = self.event_gap(now, query.service);
        reading + gap * engine.event_count(prompt.output)
    }

    /// Records the time that an answer of a service took, by the kind of its call and the longest answer that the prompt
    /// allowed.
    pub fn record_answer_time(
        &mut self,
        service: &str,
        kind: CallKind,
        output: Option<Tokens>,
        took: Duration,
    ) {
        let key = (service.into(), kind, Self::answer_length(output));
        self.answer_times
            .entry(key)
            .and_modify(|meter| meter.record(took))
            .or_insert_with(|| AnswerTimeMeter::new(took));
    }

    /// Returns the time from now within which almost all answers to such a request end, as those of this kind and similar
    /// length have; `None` if nothing is known of it.
    #[must_use]
    pub fn expected_answer_time(&self, query: &ChoiceQuery, kind: CallKind) -> Option<Duration> {
        /// Time that an engine takes for a token before the first measurement.
        const ASSUMED_TOKEN_TIME: Duration = Duration::from_millis(7);
        if self.has_gone_silent(query.service) {
            return None;
        }
        let output = query.prompt.map(|prompt| prompt.output);
        let key = (query.service.into(), kind, Self::answer_length(output));
        let measured = self.answer_times.get(&key);
        let measured = measured.map(AnswerTimeMeter::upper_bound);
        let Some(prompt) = query.prompt else {
            return measured;
        };
        let time = measured.unwrap_or_else(|| {
            let tokens = u32::try_from(prompt.output).unwrap_or(u32::MAX);
            let reading = prompt.input as f64 / self.mean_reading_speed(query.service) / 1_000.0;
            Duration::from_secs_f64(reading) + ASSUMED_TOKEN_TIME.saturating_mul(tokens)
        });
        Some(time)
    }

    /// Returns the class of answers with at most twice the least length in it.
    fn answer_length(output: Option<Tokens>) -> u32 {
        output.map_or(0, |output| output.checked_ilog2().unwrap_or(0) + 1)
    }

    /// Returns whether all upstreams of a service in this region have stopped answering.
    fn has_gone_silent(&self, service: &str) -> bool {
        let mut local = self
            .upstreams
            .values()
            .filter(|known| *known.listed.service == *service && self.is_local(known))
            .peekable();
        local.peek().is_some() && local.all(|known| known.consecutive_failures > 0)
    }

    /// Returns the engines that may get a request at once, whatever their load.
    fn open_engines<'a>(&'a self, now: Duration, query: &ChoiceQuery) -> Vec<&'a KnownUpstream> {
        let lost_zones = self.zone_health.lost_zones(now);
        self.find_candidates(query, |known| {
            !lost_zones.contains(&&known.listed.zone)
                && known.limit_opens_at().is_some_and(|at| now >= at)
                && self.is_candidate(now, query, known)
        })
    }
}
