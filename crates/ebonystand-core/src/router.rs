use {
    super::*,
    rand::{RngExt, SeedableRng},
    rand_pcg::Pcg64Mcg,
};

/// Chooses the upstream of each request of one VM.
///
/// A decision weighs two random upstreams a region, the best known one, and the one that is
/// likely to have the prompt's prefix cached; its cost grows with the regions, not with the
/// upstreams. It sends nothing: the daemon dispatches straight to the chosen upstream, calls
/// [`Self::started`] first and [`Self::finished`] once for each start.
#[derive(Clone, Debug)]
pub struct Router {
    fleet: Fleet,
    here: Place,
    hints: PrefixHints,
    links: LinkBudgets,
    picks: Vec<Pick>,
    preset: Preset,
    rng: Pcg64Mcg,
    share: FleetLoadFactor,
    version: Option<Version>,
}

impl Router {
    /// Bytes that a generated token or its share of the prompt takes on a link.
    const BYTES_PER_TOKEN: u64 = 128;
    /// Dispatches that a VM may have under way however small its share is.
    const FEWEST_SLOTS: u32 = 4;
    /// Largest random part of a score, as a multiple of the request's time on an idle upstream.
    const JITTER: f64 = 2.0;
    /// Part of its share of the batches that a VM may use: what others leave is not lost.
    const SLOTS_HEADROOM: f64 = 1.25;
    /// Predicted delay to another availability zone of the region, in milliseconds.
    const ZONE_DELAY_MS: f64 = 1.0;

    /// Router of a VM that stands at `here`; it refuses everything until it is configured.
    #[must_use]
    pub fn new(here: Place, seed: u64) -> Self {
        Self {
            fleet: Fleet::default(),
            here,
            hints: PrefixHints::default(),
            links: LinkBudgets::default(),
            picks: Vec::new(),
            preset: Preset::default(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            share: FleetLoadFactor::default(),
            version: None,
        }
    }

    /// Takes an event of an engine's prefix cache. A gap drops all hints to the engine: what
    /// it evicted meanwhile is not known, and a wrong hint would cost a cold prefill.
    pub fn cache_event(&mut self, upstream: &str, event: CacheEvent) {
        let Some(index) = self.fleet.find(upstream) else {
            return;
        };
        let state = self.fleet.get_mut(index);
        if event.sequence <= state.cache_sequence {
            return;
        }
        if event.sequence > state.cache_sequence + 1 {
            state.generation = state.generation.wrapping_add(1);
        }
        state.cache_sequence = event.sequence;
        let generation = state.generation;
        match event.change {
            CacheChange::Evicted => self.hints.forget(event.prefix_key, index),
            CacheChange::Stored => self.hints.put(event.prefix_key, index, generation),
        }
    }

    /// Takes a document; one that is older than the one in force is ignored.
    pub fn configure(&mut self, now: Duration, document: &Document) {
        if self
            .version
            .is_some_and(|version| document.version < version)
        {
            return;
        }
        let warm = self.version.is_none();
        self.fleet.configure(now, &self.here, document, warm);
        self.preset = document.preset().clone();
        self.version = Some(document.version);
        self.links.configure(now, &self.here, document);
    }

    /// Whether a request may still be sent to an upstream that was chosen earlier. To be asked
    /// right before a dispatch that has waited: the configuration may have changed since.
    #[must_use]
    pub fn confirm(&self, now: Duration, query: &RouteQuery, upstream: &str) -> bool {
        let Some(index) = self.fleet.find(upstream) else {
            return false;
        };
        let state = self.fleet.get(index);
        self.fleet.serves(index, query.target)
            && state.admits(now, query.excluded)
            && query.residency.contains(self.fleet.region(state.region))
    }

    /// Notes the end of a dispatch.
    pub fn finished(&mut self, now: Duration, upstream: &str, end: DispatchEnd) {
        let Some(index) = self.fleet.find(upstream) else {
            return;
        };
        let state = self.fleet.get_mut(index);
        state.load.ended();
        if let DispatchEnd::Answered { first_token } = end {
            state.load.answered(now, first_token);
        }
        if state.circuit.ended(now, end) {
            state.became_cold(now);
        }
    }

    /// Budget of the link to another region, for what is sent beside requests.
    pub fn link(&mut self, region: &str) -> Option<&mut LinkBudget> {
        self.links.find_mut(region)
    }

    /// The name of a query's prefix in cache events, scoped to workspace and target.
    #[must_use]
    pub fn prefix_key(query: &RouteQuery) -> u64 {
        PrefixHints::key(query.workspace, query.target, query.prefix)
    }

    /// Takes a load report; it counts from the time it was measured.
    pub fn report(&mut self, now: Duration, upstream: &str, report: LoadReport) {
        let Some(index) = self.fleet.find(upstream) else {
            return;
        };
        let state = self.fleet.get_mut(index);
        if state.load.report(now, report) {
            state.became_cold(now);
        }
        let own = state.load.in_flight();
        self.share.record_report(own, state.load.requests());
    }

    /// Chooses an upstream.
    ///
    /// # Errors
    ///
    /// A final refusal that has not run: `UnknownModel` or `NoUpstream` if nothing serves the
    /// target, `NoUpstream` if nothing that may serve it is up, `Deadline` if it has passed,
    /// `Overloaded` with the time to come back after if no first token is predicted in time.
    pub fn route(&mut self, now: Duration, query: &RouteQuery) -> Result<Route, Refusal> {
        if query.deadline.is_zero() {
            return Err(RouteRefusal::DeadlinePassed.into());
        }
        let limit = self.limit(query);
        let mut picks = std::mem::take(&mut self.picks);
        picks.clear();
        self.sample(now, query, &mut picks);
        let mut chosen = self.choose(&picks, limit);
        if chosen.is_none_or(|pick| pick.cautious > limit) {
            self.scan(now, query, &mut picks);
            chosen = self.choose(&picks, limit);
        }
        let route = match chosen {
            Some(pick) if pick.cautious <= limit => Ok(self.decided(query, &pick, &mut picks)),
            Some(pick) => Err(RouteRefusal::Overloaded {
                beyond: millis(pick.cautious - limit),
            }
            .into()),
            None => Err(self.unserved(now, query).into()),
        };
        self.picks = picks;
        route
    }

    /// Tells how many VMs of the region share its links; a budget counts from the next document
    /// on.
    pub fn share_links(&mut self, vms: u32) {
        self.links.set_sharing_vms(vms);
    }

    /// Dispatches that this VM should have under way at a time for a target: its share of the
    /// batches of the own region's upstreams, or of all if the region has none, and a quarter
    /// more. For [`FairQueue::set_slots`], about once a second: looks at each of these upstreams.
    #[must_use]
    pub fn slots(&self, now: Duration, target: &Target) -> u32 {
        let groups = self.fleet.groups(target).unwrap_or_default();
        let local = groups.iter().filter(|group| self.fleet.is_own(group));
        let slots = |group: &UpstreamGroup| self.group_slots(now, group);
        let slots = match local.map(slots).sum::<f64>() {
            0.0 => groups.iter().map(slots).sum::<f64>(),
            local => local,
        };
        let share = slots * Self::SLOTS_HEADROOM / self.share.factor();
        (share.ceil() as u32).max(Self::FEWEST_SLOTS)
    }

    /// Notes a dispatch, right before its first byte is sent. `work` is that of the route.
    pub fn started(&mut self, now: Duration, upstream: &str, work: Tokens) {
        let Some(index) = self.fleet.find(upstream) else {
            return;
        };
        let state = self.fleet.get_mut(index);
        state.circuit.started();
        state.load.started(now, work);
        let region = state.region;
        if let Some(link) = self.links.get_mut(region) {
            link.charge(now, work * Self::BYTES_PER_TOKEN);
        }
    }

    fn choose(&self, picks: &[Pick], limit: f64) -> Option<Pick> {
        let chosen = Pick::choose(picks, self.preset.send_away_gain_ms as f64)?;
        if chosen.cautious <= limit {
            return Some(chosen);
        }
        let fastest = picks
            .iter()
            .min_by(|a, b| a.cautious.total_cmp(&b.cautious))?;
        let reason = match fastest.is_local {
            true => fastest.reason,
            false => RouteReason::SentAway,
        };
        Some(Pick { reason, ..*fastest })
    }

    fn decided(&mut self, query: &RouteQuery, chosen: &Pick, picks: &mut Vec<Pick>) -> Route {
        picks.sort_by(|a, b| a.score().total_cmp(&b.score()));
        picks.dedup_by_key(|pick| pick.index);
        let candidates = picks
            .iter()
            .take(Route::LOGGED_CANDIDATES)
            .map(|pick| self.candidate(pick))
            .collect();
        let state = self.fleet.get(chosen.index);
        if query.prefix_tokens > 0 {
            let key = Self::prefix_key(query);
            self.hints.put(key, chosen.index, state.generation);
        }
        Route {
            address: state.address,
            candidates,
            cost: state.cost,
            predicted: millis(chosen.predicted),
            reason: chosen.reason,
            region: self.fleet.region(state.region).clone(),
            upstream: state.id.clone(),
            work: query.work(),
        }
    }

    fn candidate(&self, pick: &Pick) -> Candidate {
        Candidate {
            predicted: millis(pick.predicted),
            score: millis(pick.score()),
            upstream: self.fleet.get(pick.index).id.clone(),
        }
    }

    /// Batch places of a group's upstreams that are up, cold ones in part.
    fn group_slots(&self, now: Duration, group: &UpstreamGroup) -> f64 {
        let slow_start = Duration::from_millis(self.preset.slow_start_ms);
        let states = group.members.iter().map(|index| self.fleet.get(*index));
        states
            .filter(|state| state.circuit.admits(now))
            .map(|state| f64::from(state.load.slots()) * state.ramp(now, slow_start))
            .sum()
    }

    /// The upstream that is likely to have the query's prefix cached.
    fn hinted(&self, query: &RouteQuery) -> Option<u32> {
        if query.prefix_tokens == 0 {
            return None;
        }
        let (index, generation) = self.hints.get(Self::prefix_key(query))?;
        let state = self.fleet.get(index);
        let region = self.fleet.region(state.region);
        let counts = state.generation == generation
            && query.residency.contains(region)
            && self.fleet.serves(index, query.target);
        counts.then_some(index)
    }

    /// Predicted time to first token above which a request is shed, in milliseconds.
    fn limit(&self, query: &RouteQuery) -> f64 {
        let deadline = query.deadline.as_secs_f64() * 1_000.0;
        deadline.min(self.preset.shed_above_ms as f64)
    }

    /// Time in milliseconds that the link adds to the first token; none if the upstream's region
    /// is not of the document.
    fn link_time(&self, now: Duration, query: &RouteQuery, state: &UpstreamState) -> Option<f64> {
        if state.is_in_own_region {
            let zone = if state.is_in_own_zone { 0.0 } else { 1.0 };
            return Some(zone * Self::ZONE_DELAY_MS);
        }
        let link = self.links.get(state.region)?;
        let bytes = query.work() * Self::BYTES_PER_TOKEN;
        let wait = link.time_until_available(now, TrafficClass::Request, bytes);
        Some((2 * link.delay() + wait).as_secs_f64() * 1_000.0)
    }

    /// Weighs one upstream; none if it may not get the request.
    fn pick(
        &self,
        now: Duration,
        query: &RouteQuery,
        index: u32,
        reason: RouteReason,
    ) -> Option<Pick> {
        let state = self.fleet.get(index);
        if !state.admits(now, query.excluded) {
            return None;
        }
        let slow_start = Duration::from_millis(self.preset.slow_start_ms);
        let speed = state.speed as f64 * state.ramp(now, slow_start);
        let cached = match reason {
            RouteReason::Affinity => query.prefix_tokens.min(query.prompt_tokens),
            _ => 0,
        };
        let prompt = (query.prompt_tokens - cached) as f64 / RouteQuery::PREFILL_SPEEDUP as f64;
        let alone = (prompt + 1.0) / speed;
        let link = self.link_time(now, query, state)?;
        let expected = state.load.expected_s(now);
        let time = |factor| {
            let waiting = state.load.ahead(now, state.speed as f64, factor) / speed;
            let sharing = alone * state.load.occupancy(factor);
            (alone + waiting + sharing).max(expected) * 1_000.0 + link
        };
        Some(Pick {
            cautious: time(self.share.cautious_factor()),
            cost: (self.preset.cost_weight_ms * state.cost) as f64,
            index,
            is_local: state.is_in_own_region,
            jitter: match reason {
                RouteReason::Affinity => 0.0,
                _ => Self::JITTER * alone * 1_000.0,
            },
            predicted: time(self.share.factor()),
            reason,
        })
    }

    /// Weighs a few upstreams of each region that may serve the request.
    fn sample(&mut self, now: Duration, query: &RouteQuery, picks: &mut Vec<Pick>) {
        let hinted = self.hinted(query);
        picks.extend(hinted.and_then(|index| self.pick(now, query, index, RouteReason::Affinity)));
        let mut rng = self.rng.clone();
        let mut best = Vec::new();
        let from = rng.random_range(0..self.fleet.regions().len().max(1));
        let is_whole = self.fleet.regions().len() <= Fleet::SAMPLED;
        for group in self.fleet.sampled(query, from) {
            let first = picks.len();
            group.sample(&mut rng, is_whole, |index, reason| {
                picks.extend(self.pick(now, query, index, reason));
            });
            for pick in &mut picks[first..] {
                pick.jitter *= rng.random::<f64>();
            }
            let found = Pick::best(picks[first..].iter()).map(|pick| pick.index);
            best.push((group.region, found));
        }
        self.rng = rng;
        let groups = self.fleet.groups_mut(query.target);
        for group in groups {
            let found = best.iter().find(|(region, _)| *region == group.region);
            group.best = found.map_or(group.best, |(_, best)| *best);
        }
    }

    /// Weighs more upstreams before a request is refused.
    fn scan(&mut self, now: Duration, query: &RouteQuery, picks: &mut Vec<Pick>) {
        let mut rng = self.rng.clone();
        for group in self.fleet.allowed(query) {
            group.scan(&mut rng, |index| {
                picks.extend(self.pick(now, query, index, RouteReason::Sampled));
            });
        }
        self.rng = rng;
    }

    /// Refusal of a request that no upstream can take.
    fn unserved(&mut self, now: Duration, query: &RouteQuery) -> RouteRefusal {
        let target = query.target.clone();
        let Some(groups) = self.fleet.groups(query.target) else {
            return RouteRefusal::Unknown { target };
        };
        let reopens_in = groups
            .iter()
            .flat_map(|group| group.members.iter().take(UpstreamGroup::SCANNED))
            .map(|&index| self.fleet.get(index).circuit.reopens_in(now))
            .filter(|delay| !delay.is_zero())
            .min();
        RouteRefusal::NoneUp { reopens_in, target }
    }
}

fn millis(ms: f64) -> Duration {
    Duration::from_secs_f64(ms / 1_000.0)
}
