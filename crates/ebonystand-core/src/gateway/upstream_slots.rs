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
            pressure.in_flight += load.requests.min(known.listed.slots);
            pressure.slots += known.listed.slots;
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

    /// Returns the time from now to the end of the answer to a request; `None` if no upstream of this region tells.
    #[must_use]
    pub fn expected_answer_time(&self, now: Duration, query: &ChoiceQuery) -> Option<Duration> {
        /// Time that an engine takes for a token before the first measurement.
        const ASSUMED_TOKEN_TIME: Duration = Duration::from_millis(7);
        let Some(prompt) = query.prompt else {
            let local = self.upstreams.values().filter(|known| {
                let is_answering = known.consecutive_failures == 0 && !known.is_leaving();
                *known.listed.service == *query.service && self.is_local(known) && is_answering
            });
            let times = local.map(|known| known.predict_call_duration(now, self.peer_load(known)));
            return times.max();
        };
        let reading = prompt.input as f64 / self.mean_reading_speed(query.service) / 1_000.0;
        let gap = self.event_gap(now, query.service);
        let writing = match query.engine.filter(|_| !gap.is_zero()) {
            Some(engine) => gap * engine.event_count(prompt.output),
            None => {
                let tokens = u32::try_from(prompt.output).unwrap_or(u32::MAX);
                ASSUMED_TOKEN_TIME.saturating_mul(tokens)
            }
        };
        Some(Duration::from_secs_f64(reading) + writing)
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
