use super::*;

/// An upstream as one VM knows it.
#[derive(Clone, Debug)]
pub(crate) struct KnownUpstream {
    /// Until when it counts as cold.
    pub(crate) cold_until: Duration,
    pub(crate) gate: ColdGate,
    /// Another server has its address: it is not there any more, whatever the list says.
    pub(crate) is_gone: bool,
    pub(crate) in_flight: u32,
    pub(crate) key: UpstreamKey,
    pub(crate) listed: ListedUpstream,
    /// Time that a request takes, smoothed.
    pub(crate) pace: Duration,
    pub(crate) prefixes: PrefixMemory,
    /// Region of its zone; `None` if the zone is not known.
    pub(crate) region: Option<RegionId>,
    pub(crate) report: Option<(Duration, ReportedSlots)>,
    /// Requests sent since the last report.
    pub(crate) sent_since: u32,
    /// Prompt tokens read in a millisecond, smoothed.
    pub(crate) speed: f64,
    /// Share of its requests that it fails, smoothed.
    pub(crate) failing: f64,
    pub(crate) strikes: u32,
    /// Until when it gets nothing, having failed.
    pub(crate) suspect_until: Duration,
    /// Work of this VM's requests that have not begun: prompt tokens that an engine has to read, or
    /// calls.
    pub(crate) window: Window,
}

impl KnownUpstream {
    /// Speed assumed of an engine that has not been measured, in prompt tokens a millisecond; low,
    /// so that the first requests spread.
    pub(crate) const FIRST_SPEED: f64 = 50.0;
    /// Time assumed of a call that has not been measured.
    const FIRST_PACE: Duration = Duration::from_millis(40);
    /// Calls of a plain service under way for each slot: one that runs and one that follows.
    const CALLS_A_SLOT: u32 = 2;
    /// A report that is older tells nothing.
    const REPORT_LIFE: Duration = Duration::from_millis(1_500);
    /// Weight of a new measurement.
    const SMOOTHING: f64 = 0.2;
    /// Work below which a measured time says more of the network than of the engine, in tokens.
    const MEASURED_WORK: Tokens = 1_000;
    /// First wait after a failure; each further one doubles it up to [`Self::LONGEST_STRIKE`].
    const STRIKE: Duration = Duration::from_millis(500);
    const LONGEST_STRIKE: Duration = Duration::from_secs(4);

    /// Window of a VM that has sent an engine nothing yet, in prompt tokens: some usual prompts.
    const FIRST_TOKENS: u64 = 12_000;

    pub(crate) fn new(
        listed: ListedUpstream,
        region: Option<RegionId>,
        cold_until: Duration,
    ) -> Self {
        Self {
            cold_until,
            gate: ColdGate::default(),
            is_gone: false,
            in_flight: 0,
            key: UpstreamKey::from(&*listed.instance),
            listed,
            pace: Self::FIRST_PACE,
            prefixes: PrefixMemory::default(),
            region,
            report: None,
            sent_since: 0,
            speed: Self::FIRST_SPEED,
            failing: 0.0,
            strikes: 0,
            suspect_until: Duration::ZERO,
            window: Window::new(Self::FIRST_TOKENS),
        }
    }

    /// Requests that occupy or wait for a slot, as far as this VM can tell. `others` is what the
    /// other VMs of the region have under way.
    pub(crate) fn occupied(&self, now: Duration, others: UnderWay) -> u32 {
        let told = self.report(now).map(|(_, slots)| slots);
        let told = told.map_or(0, |slots| slots.running + slots.waiting + self.sent_since);
        told.max(self.in_flight + others.requests)
    }

    /// What this VM has under way here.
    pub(crate) fn under_way(&self) -> UnderWay {
        UnderWay {
            requests: self.in_flight,
            unread: self.window.used(),
        }
    }

    /// Time to the first byte of an engine that must read `unread` tokens.
    pub(crate) fn engine_delay(&self, now: Duration, unread: Tokens, others: UnderWay) -> Duration {
        let work = self.window.used() + others.unread + unread;
        let slots = self.listed.slots.max(1);
        let waiting = (self.occupied(now, others) + 1).saturating_sub(slots);
        // One of the slots becomes free each time that part of a request's time has passed.
        self.reading(work) + self.pace / slots * waiting
    }

    /// Time in which the engine reads so many prompt tokens.
    pub(crate) fn reading(&self, tokens: Tokens) -> Duration {
        Duration::from_secs_f64(tokens as f64 / self.speed / 1_000.0)
    }

    /// Whether a request fits that has `work` to be read, or is a call.
    pub(crate) fn has_room(
        &self,
        now: Duration,
        is_engine: bool,
        work: u64,
        others: UnderWay,
    ) -> bool {
        let fits = !is_engine || self.window.fits(work, others.unread);
        fits && self.has_slot(now, is_engine, others)
    }

    /// Whether a slot is free, or soon will be for a call.
    pub(crate) fn has_slot(&self, now: Duration, is_engine: bool, others: UnderWay) -> bool {
        let requests = if is_engine { 1 } else { Self::CALLS_A_SLOT };
        self.occupied(now, others) < self.listed.slots * requests
    }

    /// Time that a call takes here.
    pub(crate) fn call_delay(&self, now: Duration, others: UnderWay) -> Duration {
        let slots = self.listed.slots.max(1);
        let turns = 1.0 + f64::from(self.occupied(now, others)) / f64::from(slots);
        self.pace.mul_f64(turns)
    }

    /// Notes an answer that was a failure of the upstream's own, or was not. One that fails part of
    /// its requests is still better than none, so it is only passed over for a sounder one.
    pub(crate) fn observe(&mut self, failed: bool) {
        let sample = f64::from(u8::from(failed));
        self.failing = self.failing * (1.0 - Self::SMOOTHING) + sample * Self::SMOOTHING;
    }

    /// Delay with what its failures cost: each of them is answered by another try.
    pub(crate) fn weighed(&self, delay: Duration) -> Duration {
        /// Time that a failed try and what follows it cost, at least.
        const FAILURE: Duration = Duration::from_millis(300);
        delay + FAILURE.mul_f64(self.failing)
    }

    pub(crate) fn failed(&mut self, now: Duration) {
        let wait = Self::STRIKE * (1 << self.strikes.min(4));
        self.strikes += 1;
        self.suspect_until = now + wait.min(Self::LONGEST_STRIKE);
    }

    pub(crate) fn worked(&mut self) {
        self.strikes = 0;
        self.suspect_until = Duration::ZERO;
    }

    pub(crate) fn measure_call(&mut self, took: Duration) {
        let slots = f64::from(self.listed.slots.max(1));
        let turns = 1.0 + f64::from(self.in_flight) / slots;
        let sample = took.div_f64(turns);
        self.pace = self.pace.mul_f64(1.0 - Self::SMOOTHING) + sample.mul_f64(Self::SMOOTHING);
    }

    pub(crate) fn measure_reading(&mut self, work: Tokens, took: Duration) {
        if work < Self::MEASURED_WORK || took.is_zero() {
            return;
        }
        let sample = work as f64 / took.as_secs_f64() / 1_000.0;
        let sample = sample.clamp(1.0, 1_000.0);
        self.speed = self.speed * (1.0 - Self::SMOOTHING) + sample * Self::SMOOTHING;
    }

    pub(crate) fn report(&self, now: Duration) -> Option<(Duration, ReportedSlots)> {
        let (at, slots) = self.report?;
        let age = now.saturating_sub(at);
        (age < Self::REPORT_LIFE).then_some((age, slots))
    }
}
