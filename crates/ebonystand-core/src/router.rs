use {
    super::*,
    rand::{RngExt, SeedableRng},
    rand_pcg::Pcg64Mcg,
};

/// Chooses the upstream of each request of one VM.
///
/// A decision scores a random sample of upstreams per region, each region's best known upstream,
/// and the upstream that is likely to have the prompt's prefix cached. Its cost is bounded, however
/// many regions and upstreams there are. The router sends nothing itself: the daemon dispatches to
/// the chosen upstream, calls [`Self::record_dispatch`] right before, and
/// [`Self::record_dispatch_end`] once for each dispatch.
#[derive(Clone, Debug)]
pub struct Router {
    upstreams: UpstreamIndex,
    own_place: Place,
    prefix_hints: PrefixHints,
    links: LinkBudgets,
    candidates: Vec<ScoredUpstream>,
    preset: Preset,
    rng: Pcg64Mcg,
    fleet_load_factor: FleetLoadFactor,
    version: Option<Version>,
}

impl Router {
    /// Bytes on a link per token of work: a generated token, or the prompt tokens that count as
    /// one.
    const BYTES_PER_TOKEN: u64 = 128;
    /// Smallest result of [`Self::dispatch_slots`], however small the VM's share of the slots is.
    const MIN_SLOTS: u32 = 4;
    /// Upper bound of the random part of a score, as a multiple of the request's time on an idle
    /// upstream.
    const MAX_JITTER_FACTOR: f64 = 2.0;
    /// Factor by which a VM may exceed its share of the slots, so that slots which other VMs leave
    /// unused are not lost.
    const SLOTS_HEADROOM_FACTOR: f64 = 1.25;
    /// Delay in milliseconds that is added for an upstream in another availability zone of the
    /// region.
    const CROSS_ZONE_DELAY_MS: f64 = 1.0;

    /// Creates the router of a VM at `own_place`. It refuses all requests until it is configured.
    #[must_use]
    pub fn new(own_place: Place, seed: u64) -> Self {
        Self {
            upstreams: UpstreamIndex::default(),
            own_place,
            prefix_hints: PrefixHints::default(),
            links: LinkBudgets::default(),
            candidates: Vec::new(),
            preset: Preset::default(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            fleet_load_factor: FleetLoadFactor::default(),
            version: None,
        }
    }

    /// Handles an event of an engine's prefix cache. A gap in the sequence drops all hints to the
    /// engine: its evictions during the gap are unknown, and a wrong hint costs a cold prefill.
    pub fn handle_cache_event(&mut self, upstream: &str, event: CacheEvent) {
        let Some(index) = self.upstreams.find_index(upstream) else {
            return;
        };
        let state = self.upstreams.get_mut(index);
        if event.sequence <= state.cache_sequence {
            return;
        }
        if event.sequence > state.cache_sequence + 1 {
            state.generation = state.generation.wrapping_add(1);
        }
        state.cache_sequence = event.sequence;
        let generation = state.generation;
        match event.change {
            CacheChange::Evicted => self.prefix_hints.remove(event.prefix_key, index),
            CacheChange::Stored => self
                .prefix_hints
                .insert(event.prefix_key, index, generation),
        }
    }

    /// Applies a configuration document. A document older than the current one is ignored.
    pub fn configure(&mut self, now: Duration, document: &Document) {
        if self
            .version
            .is_some_and(|version| document.version < version)
        {
            return;
        }
        let warm = self.version.is_none();
        self.upstreams
            .configure(now, &self.own_place, document, warm);
        self.preset = document.preset().clone();
        self.version = Some(document.version);
        self.links.configure(now, &self.own_place, document);
    }

    /// Whether a request may still be sent to an upstream that was chosen earlier. Call it right
    /// before a dispatch that was queued, since the configuration may have changed in the meantime.
    #[must_use]
    pub fn can_dispatch(&self, now: Duration, query: &RouteQuery, upstream: &str) -> bool {
        let Some(index) = self.upstreams.find_index(upstream) else {
            return false;
        };
        let state = self.upstreams.get(index);
        self.upstreams.is_serving(index, query.target)
            && state.allows_dispatch(now, query.excluded)
            && query
                .residency
                .contains(self.upstreams.region(state.region))
    }

    /// Records the end of a dispatch.
    pub fn record_dispatch_end(&mut self, now: Duration, upstream: &str, end: DispatchEnd) {
        let Some(index) = self.upstreams.find_index(upstream) else {
            return;
        };
        let state = self.upstreams.get_mut(index);
        state.load.record_end();
        if let DispatchEnd::Answered { first_token } = end {
            state.load.record_answer(now, first_token);
        }
        if state.circuit.record_end(now, end) {
            state.mark_cold(now);
        }
    }

    /// Records that an upstream wants no request from this VM for a time. Returns whether that begins
    /// a pause.
    pub fn record_pause(&mut self, now: Duration, upstream: &str, pause: Duration) -> bool {
        let Some(index) = self.upstreams.find_index(upstream) else {
            return false;
        };
        let state = self.upstreams.get_mut(index);
        let was_paused = now < state.paused_until;
        state.paused_until = state.paused_until.max(now + pause);
        !was_paused && now < state.paused_until
    }

    /// Returns whether an upstream has asked this VM to send nothing now.
    #[must_use]
    pub fn is_paused(&self, now: Duration, upstream: &str) -> bool {
        let index = self.upstreams.find_index(upstream);
        index.is_some_and(|index| now < self.upstreams.get(index).paused_until)
    }

    /// Bandwidth budget of the link to another region, for traffic other than requests.
    pub fn link_budget_mut(&mut self, region: &str) -> Option<&mut LinkBudget> {
        self.links.find_mut(region)
    }

    /// Key of the query's prefix in cache events. It depends on the workspace and the target.
    #[must_use]
    pub fn prefix_key(query: &RouteQuery) -> u64 {
        PrefixHints::key(query.workspace, query.target, query.prefix)
    }

    /// Records a load report, dated to the time of its measurement.
    pub fn record_load_report(&mut self, now: Duration, upstream: &str, report: LoadReport) {
        let Some(index) = self.upstreams.find_index(upstream) else {
            return;
        };
        let state = self.upstreams.get_mut(index);
        if state.load.record_report(now, report) {
            state.mark_cold(now);
        }
        let own = state.load.in_flight();
        self.fleet_load_factor
            .record_report(own, state.load.reported_requests());
    }

    /// Chooses the upstream of a request.
    ///
    /// # Errors
    ///
    /// A final refusal of a request that has not run:
    ///
    /// - `UnknownModel` or `NoUpstream` if no upstream serves the target,
    /// - `NoUpstream` if no allowed upstream that serves it is available,
    /// - `Deadline` if the deadline has passed,
    /// - `Overloaded`, with a time to retry after, if no upstream is predicted to send the first
    ///   token in time.
    pub fn route(&mut self, now: Duration, query: &RouteQuery) -> Result<Route, Refusal> {
        if query.deadline.is_zero() {
            return Err(RouteRefusal::DeadlinePassed.into());
        }
        let limit_ms = self.max_first_token_ms(query);
        let mut candidates = std::mem::take(&mut self.candidates);
        candidates.clear();
        self.score_sample(now, query, &mut candidates);
        let mut chosen = self.choose_upstream(&candidates, limit_ms);
        if chosen.is_none_or(|candidate| candidate.cautious_ms > limit_ms) {
            self.score_scan(now, query, &mut candidates);
            chosen = self.choose_upstream(&candidates, limit_ms);
        }
        let route = match chosen {
            Some(candidate) if candidate.cautious_ms <= limit_ms => {
                Ok(self.build_route(query, &candidate, &mut candidates))
            }
            Some(candidate) => Err(RouteRefusal::Overloaded {
                beyond: millis(candidate.cautious_ms - limit_ms),
            }
            .into()),
            None => Err(self.no_upstream_refusal(now, query).into()),
        };
        self.candidates = candidates;
        route
    }

    /// Sets how many VMs of the region share its links. It takes effect with the next document.
    pub fn set_sharing_vms(&mut self, vms: u32) {
        self.links.set_sharing_vms(vms);
    }

    /// Number of concurrent dispatches that this VM should allow for a target: its share of the
    /// slots of the own region's upstreams, or of all regions' if the own region has none, and a
    /// quarter more. It is the input of [`FairQueue::set_slots`], about once a second: it visits
    /// each of these upstreams.
    #[must_use]
    pub fn dispatch_slots(&self, now: Duration, target: &Target) -> u32 {
        let groups = self.upstreams.groups(target).unwrap_or_default();
        let local = groups
            .iter()
            .filter(|group| self.upstreams.is_in_own_region(group));
        let slots = |group: &UpstreamGroup| self.available_slots(now, group);
        let slots = match local.map(slots).sum::<f64>() {
            0.0 => groups.iter().map(slots).sum::<f64>(),
            local => local,
        };
        let share = slots * Self::SLOTS_HEADROOM_FACTOR / self.fleet_load_factor.factor();
        (share.ceil() as u32).max(Self::MIN_SLOTS)
    }

    /// Records a dispatch of `work` as given by [`Route::work`], right before its first byte is
    /// sent.
    pub fn record_dispatch(&mut self, now: Duration, upstream: &str, work: Tokens) {
        let Some(index) = self.upstreams.find_index(upstream) else {
            return;
        };
        let state = self.upstreams.get_mut(index);
        state.circuit.record_dispatch();
        state.load.record_dispatch(now, work);
        let region = state.region;
        if let Some(link) = self.links.get_mut(region) {
            link.charge(now, work * Self::BYTES_PER_TOKEN);
        }
    }

    fn choose_upstream(
        &self,
        candidates: &[ScoredUpstream],
        limit_ms: f64,
    ) -> Option<ScoredUpstream> {
        let chosen = ScoredUpstream::choose(candidates, self.preset.send_away_gain_ms as f64)?;
        if chosen.cautious_ms <= limit_ms {
            return Some(chosen);
        }
        let fastest = candidates
            .iter()
            .min_by(|a, b| a.cautious_ms.total_cmp(&b.cautious_ms))?;
        let reason = match fastest.is_local {
            true => fastest.reason,
            false => RouteReason::SentAway,
        };
        Some(ScoredUpstream { reason, ..*fastest })
    }

    fn build_route(
        &mut self,
        query: &RouteQuery,
        chosen: &ScoredUpstream,
        candidates: &mut Vec<ScoredUpstream>,
    ) -> Route {
        candidates.sort_by(|a, b| a.score_ms().total_cmp(&b.score_ms()));
        candidates.dedup_by_key(|candidate| candidate.index);
        let candidates = candidates
            .iter()
            .take(Route::MAX_LOGGED_CANDIDATES)
            .map(|candidate| self.to_route_candidate(candidate))
            .collect();
        let state = self.upstreams.get(chosen.index);
        let sharing = 1.0 + state.load.occupancy(self.fleet_load_factor.factor());
        let writing_s = query.max_tokens as f64 / state.speed.max(1) as f64 * sharing;
        if query.prefix_tokens > 0 {
            let key = Self::prefix_key(query);
            self.prefix_hints
                .insert(key, chosen.index, state.generation);
        }
        Route {
            address: state.address,
            candidates,
            cost: state.cost,
            predicted: millis(chosen.predicted_ms),
            predicted_end: millis(chosen.predicted_ms + writing_s * 1_000.0),
            reason: chosen.reason,
            region: self.upstreams.region(state.region).clone(),
            upstream: state.id.clone(),
            work: query.work(),
        }
    }

    fn to_route_candidate(&self, candidate: &ScoredUpstream) -> RouteCandidate {
        RouteCandidate {
            predicted: millis(candidate.predicted_ms),
            score: millis(candidate.score_ms()),
            upstream: self.upstreams.get(candidate.index).id.clone(),
        }
    }

    /// Number of slots of a group's available upstreams. A cold upstream counts in part.
    fn available_slots(&self, now: Duration, group: &UpstreamGroup) -> f64 {
        let slow_start = Duration::from_millis(self.preset.slow_start_ms);
        let states = group.members.iter().map(|index| self.upstreams.get(*index));
        states
            .filter(|state| state.circuit.allows_dispatch(now))
            .map(|state| f64::from(state.load.slots()) * state.slow_start_factor(now, slow_start))
            .sum()
    }

    /// Upstream that is likely to have the query's prefix cached, if the hint is still valid and
    /// the upstream may serve the query.
    fn hinted_upstream(&self, query: &RouteQuery) -> Option<u32> {
        if query.prefix_tokens == 0 {
            return None;
        }
        let (index, generation) = self.prefix_hints.get(Self::prefix_key(query))?;
        let state = self.upstreams.get(index);
        let region = self.upstreams.region(state.region);
        let is_valid = state.generation == generation
            && query.residency.contains(region)
            && self.upstreams.is_serving(index, query.target);
        is_valid.then_some(index)
    }

    /// Longest acceptable predicted time to first token in milliseconds. Above it a request is
    /// refused.
    fn max_first_token_ms(&self, query: &RouteQuery) -> f64 {
        let deadline = query.deadline.as_secs_f64() * 1_000.0;
        deadline.min(self.preset.shed_above_ms as f64)
    }

    /// Time in milliseconds that the link adds to the time to first token. None if the upstream's
    /// region is not in the document.
    fn link_delay_ms(
        &self,
        now: Duration,
        query: &RouteQuery,
        state: &UpstreamState,
    ) -> Option<f64> {
        if state.is_in_own_region {
            let zone = if state.is_in_own_zone { 0.0 } else { 1.0 };
            return Some(zone * Self::CROSS_ZONE_DELAY_MS);
        }
        let link = self.links.get(state.region)?;
        let bytes = query.work() * Self::BYTES_PER_TOKEN;
        let wait = link.time_until_available(now, TrafficClass::Request, bytes);
        Some((2 * link.delay() + wait).as_secs_f64() * 1_000.0)
    }

    /// Predicts and scores one upstream. None if it may not get the request.
    fn score_upstream(
        &self,
        now: Duration,
        query: &RouteQuery,
        index: u32,
        reason: RouteReason,
    ) -> Option<ScoredUpstream> {
        let state = self.upstreams.get(index);
        if !state.allows_dispatch(now, query.excluded) {
            return None;
        }
        let slow_start = Duration::from_millis(self.preset.slow_start_ms);
        let speed = state.speed as f64 * state.slow_start_factor(now, slow_start);
        let cached = match reason {
            RouteReason::Affinity => query.prefix_tokens.min(query.prompt_tokens),
            _ => 0,
        };
        let prompt = (query.prompt_tokens - cached) as f64 / RouteQuery::PREFILL_SPEEDUP as f64;
        let alone = (prompt + 1.0) / speed;
        let link = self.link_delay_ms(now, query, state)?;
        let expected = state.load.min_first_token_s(now);
        let time = |factor| {
            let waiting = state.load.work_ahead(now, state.speed as f64, factor) / speed;
            let sharing = alone * state.load.occupancy(factor);
            (alone + waiting + sharing).max(expected) * 1_000.0 + link
        };
        Some(ScoredUpstream {
            cautious_ms: time(self.fleet_load_factor.cautious_factor()),
            cost_ms: (self.preset.cost_weight_ms * state.cost) as f64,
            index,
            is_local: state.is_in_own_region,
            jitter_ms: match reason {
                RouteReason::Affinity => 0.0,
                _ => Self::MAX_JITTER_FACTOR * alone * 1_000.0,
            },
            predicted_ms: time(self.fleet_load_factor.factor()),
            reason,
        })
    }

    /// Scores a sample of the upstreams of some regions, and remembers the best of each region.
    fn score_sample(
        &mut self,
        now: Duration,
        query: &RouteQuery,
        candidates: &mut Vec<ScoredUpstream>,
    ) {
        let hinted_upstream = self.hinted_upstream(query);
        candidates.extend(
            hinted_upstream
                .and_then(|index| self.score_upstream(now, query, index, RouteReason::Affinity)),
        );
        let mut rng = self.rng.clone();
        let mut best = Vec::new();
        let from = rng.random_range(0..self.upstreams.regions().len().max(1));
        let is_whole = self.upstreams.regions().len() <= UpstreamIndex::MAX_SAMPLED_REGIONS;
        for group in self.upstreams.sampled_groups(query, from) {
            let first = candidates.len();
            group.sample(&mut rng, is_whole, |index, reason| {
                candidates.extend(self.score_upstream(now, query, index, reason));
            });
            for candidate in &mut candidates[first..] {
                candidate.jitter_ms *= rng.random::<f64>();
            }
            let found =
                ScoredUpstream::best(candidates[first..].iter()).map(|candidate| candidate.index);
            best.push((group.region, found));
        }
        self.rng = rng;
        let groups = self.upstreams.groups_mut(query.target);
        for group in groups {
            let found = best.iter().find(|(region, _)| *region == group.region);
            group.best_known = found.map_or(group.best_known, |(_, best)| *best);
        }
    }

    /// Scores more upstreams before a request is refused.
    fn score_scan(
        &mut self,
        now: Duration,
        query: &RouteQuery,
        candidates: &mut Vec<ScoredUpstream>,
    ) {
        let mut rng = self.rng.clone();
        for group in self.upstreams.allowed_groups(query) {
            group.scan(&mut rng, |index| {
                candidates.extend(self.score_upstream(now, query, index, RouteReason::Sampled));
            });
        }
        self.rng = rng;
    }

    /// Refusal of a request that no upstream can serve.
    fn no_upstream_refusal(&mut self, now: Duration, query: &RouteQuery) -> RouteRefusal {
        let target = query.target.clone();
        let Some(groups) = self.upstreams.groups(query.target) else {
            return RouteRefusal::UnknownTarget { target };
        };
        let reopens_in = groups
            .iter()
            .flat_map(|group| group.members.iter().take(UpstreamGroup::MAX_SCANNED))
            .map(|&index| {
                let state = self.upstreams.get(index);
                let pause = state.paused_until.saturating_sub(now);
                state.circuit.time_until_probe(now).max(pause)
            })
            .filter(|delay| !delay.is_zero())
            .min();
        RouteRefusal::NoneAvailable { reopens_in, target }
    }
}

fn millis(ms: f64) -> Duration {
    Duration::from_secs_f64(ms / 1_000.0)
}
