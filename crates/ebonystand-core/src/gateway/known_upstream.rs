use super::*;

/// State that one VM keeps about an upstream: its entry on the list and what its answers have
/// shown.
#[derive(Clone, Debug)]
pub(crate) struct KnownUpstream {
    /// Time until which the upstream counts as cold.
    pub(crate) cold_until: Duration,
    /// Rate limit for requests sent while the upstream is cold.
    pub(crate) cold_limiter: ColdStartLimiter,
    /// Whether an answer of the upstream said that it leaves.
    pub(crate) has_announced_leaving: bool,
    /// Whether another server answers at the address, so that this one is gone whatever the list
    /// says.
    pub(crate) is_address_reused: bool,
    /// Requests of this VM that have been sent and have not ended.
    pub(crate) in_flight: u32,
    /// Short name of the upstream in messages between VMs.
    pub(crate) key: UpstreamKey,
    /// Time at which the list first showed that the upstream leaves.
    pub(crate) leaving_since: Option<Duration>,
    /// Entry of the upstream on the list.
    pub(crate) listed: ListedUpstream,
    /// Smoothed duration of a request while no other one waits.
    pub(crate) call_duration: Duration,
    /// Prompt parts that this VM has sent to the upstream.
    pub(crate) sent_prefixes: SentPrefixes,
    /// Region of the upstream's zone; `None` if the zone is unknown.
    pub(crate) region: Option<RegionId>,
    /// Last load report of the upstream, with the time of its arrival.
    pub(crate) last_report: Option<(Duration, ReportedSlots)>,
    /// Requests sent by this VM since the last load report.
    pub(crate) sent_since_report: u32,
    /// Smoothed number of prompt tokens that the engine reads per millisecond, by this VM's prompts.
    pub(crate) own_reading_speed: f64,
    /// Reading speed by the prompts of all VMs of the region.
    pub(crate) learned_speed: LearnedSpeed,
    /// Average of the prompt tokens that the other VMs have in flight and that wait to be read; kept
    /// only for an upstream that tells how long work takes.
    pub(crate) others_unread: SmoothedRate,
    /// How long work takes now.
    pub(crate) momentary_speed: MomentarySpeed,
    /// This VM's prompts whose answers have not begun.
    pub(crate) sent_reads: Vec<SentRead>,
    /// Smoothed share of requests that the upstream itself fails, from 0 to 1.
    pub(crate) failure_rate: f64,
    /// Timeouts and failed connections since the last answer.
    pub(crate) consecutive_failures: u32,
    /// Time until which the upstream is passed over because it timed out or could not be reached.
    pub(crate) backoff_until: Duration,
    /// Limit that the upstream has named, if any.
    pub(crate) limit: Option<NamedLimit>,
    /// Pause that the upstream has asked this VM for, until a request after it is answered.
    pub(crate) pause: Option<UpstreamPause>,
    /// Requests that the upstream may turn away in a second, over all VMs, before it goes down; `None`
    /// if it states no such number.
    pub(crate) shed_tolerance: Option<u32>,
    /// Limit on the prompt tokens that wait in the engine, with those reserved by this VM's requests
    /// whose answers have not begun; calls to plain services reserve none.
    pub(crate) work_window: WorkWindow,
}

impl KnownUpstream {
    /// Reading speed assumed before the first measurement, in prompt tokens per millisecond; low,
    /// so that the first requests spread over the engines.
    pub(crate) const INITIAL_READING_SPEED: f64 = 50.0;
    /// Call duration assumed before the first measurement.
    const INITIAL_CALL_DURATION: Duration = Duration::from_millis(40);
    /// Calls per slot that may be in flight at a plain service: one that runs and one that is
    /// queued behind it. An upstream that goes down of what it turns away gets none to queue.
    const CALLS_PER_SLOT: u32 = 2;
    /// Age from which a load report is ignored.
    const REPORT_LIFETIME: Duration = Duration::from_millis(1_500);
    /// Weight of a new sample in the exponential averages.
    const SMOOTHING: f64 = 0.2;
    /// Least work, in tokens, from which reading speed is measured; with less, the network
    /// dominates the measured time.
    const MIN_MEASURED_TOKENS: Tokens = 1_000;
    /// First backoff after a failure; each further failure doubles it, up to [`Self::MAX_BACKOFF`].
    const MIN_BACKOFF: Duration = Duration::from_millis(500);
    /// Longest backoff after a failure.
    const MAX_BACKOFF: Duration = Duration::from_secs(4);

    /// Initial size of the work window, in prompt tokens; fits a few typical prompts.
    const INITIAL_WINDOW_TOKENS: u64 = 12_000;

    /// Creates the state of an upstream that has just appeared on the list.
    pub(crate) fn new(
        listed: ListedUpstream,
        region: Option<RegionId>,
        cold_until: Duration,
    ) -> Self {
        Self {
            cold_until,
            cold_limiter: ColdStartLimiter::default(),
            has_announced_leaving: false,
            is_address_reused: false,
            in_flight: 0,
            key: UpstreamKey::from(&*listed.instance),
            leaving_since: None,
            listed,
            call_duration: Self::INITIAL_CALL_DURATION,
            sent_prefixes: SentPrefixes::default(),
            region,
            last_report: None,
            sent_since_report: 0,
            own_reading_speed: Self::INITIAL_READING_SPEED,
            learned_speed: LearnedSpeed::default(),
            others_unread: SmoothedRate::default(),
            momentary_speed: MomentarySpeed::default(),
            sent_reads: Vec::new(),
            failure_rate: 0.0,
            consecutive_failures: 0,
            backoff_until: Duration::ZERO,
            limit: None,
            pause: None,
            shed_tolerance: None,
            work_window: WorkWindow::new(Self::INITIAL_WINDOW_TOKENS),
        }
    }

    /// Returns whether the list or the upstream's answers say that it leaves.
    pub(crate) fn is_leaving(&self) -> bool {
        self.listed.leaving || self.has_announced_leaving
    }

    /// Returns whether the upstream gets no request because of a pause that it has asked for.
    pub(crate) fn is_paused(&self, now: Duration) -> bool {
        self.pause.is_some_and(|pause| !pause.allows_dispatch(now))
    }

    /// Returns the time until the pause ends that the upstream has asked for.
    pub(crate) fn pause_remaining(&self, now: Duration) -> Duration {
        self.pause
            .map_or(Duration::ZERO, |pause| pause.remaining(now))
    }

    /// Returns the number of requests that occupy or wait for a slot, from the upstream's last
    /// report and from the requests that this VM and its peers (`others`) have in flight, whichever
    /// is larger.
    pub(crate) fn pending_requests(&self, now: Duration, others: UnderWay) -> u32 {
        let reported = self.fresh_report(now).map(|(_, slots)| slots);
        let reported = reported.map_or(0, |slots| {
            let known = slots.running.saturating_add(slots.waiting);
            known.saturating_add(self.sent_since_report)
        });
        reported.max(self.in_flight + others.requests)
    }

    /// Returns the requests that this VM has in flight at the upstream.
    pub(crate) fn under_way(&self) -> UnderWay {
        UnderWay {
            requests: self.in_flight,
            unread: self.work_window.used(),
        }
    }

    /// Predicts the time to the first byte of a prompt of which the engine must read `unread`
    /// tokens.
    pub(crate) fn predict_first_byte(
        &self,
        now: Duration,
        unread: Tokens,
        others: UnderWay,
    ) -> Duration {
        let work = self.work_window.used() + others.unread + unread;
        let slots = self.listed.slots.max(1);
        let waiting = (self.pending_requests(now, others) + 1).saturating_sub(slots);
        // On average, a slot becomes free once per call duration divided by the number of slots.
        let usual = self.usual_reading_time(work) + self.call_duration / slots * waiting;
        self.momentary_speed.stretch(now, usual)
    }

    /// Returns the time that the engine takes to read `tokens` prompt tokens from now on.
    pub(crate) fn reading_time(&self, now: Duration, tokens: Tokens) -> Duration {
        let usual = self.usual_reading_time(tokens);
        self.momentary_speed.stretch(now, usual)
    }

    /// Returns the time that the engine usually takes to read `tokens` prompt tokens.
    pub(crate) fn usual_reading_time(&self, tokens: Tokens) -> Duration {
        Duration::from_secs_f64(tokens as f64 / self.own_reading_speed / 1_000.0)
    }

    /// Returns the number of prompt tokens that the engine usually reads per millisecond, by the
    /// prompts of all VMs if others have told enough.
    ///
    /// Choices among engines rest on the VM's own measure instead: with equal knowledge of the
    /// fastest engines, all VMs would send there at once, before they hear of one another.
    pub(crate) fn lasting_speed(&self) -> f64 {
        self.learned_speed
            .per_ms()
            .unwrap_or(self.own_reading_speed)
    }

    /// Returns whether work takes about as long as usual now, as far as this VM knows.
    pub(crate) fn is_usual_now(&self, now: Duration) -> bool {
        let time = self.momentary_speed.current(now);
        time.is_none_or(|(time, _)| time.is_usual())
    }

    /// Records that a prompt of `unread` tokens is about to be sent; `others` are the requests of the
    /// other VMs.
    pub(crate) fn record_sent_read(&mut self, now: Duration, unread: Tokens, others: UnderWay) {
        let is_sound = self.has_free_slot(now, true, others) && self.is_usual_now(now);
        self.sent_reads.push(SentRead {
            is_sound,
            sent_at: now,
            unread,
        });
    }

    /// Takes the prompt of `unread` tokens that was sent at or next to `sent_at`.
    pub(crate) fn take_sent_read(&mut self, sent_at: Duration, unread: Tokens) -> Option<SentRead> {
        let sent = self.sent_reads.iter().enumerate();
        let sent = sent.filter(|(_, sent)| sent.unread == unread);
        let (index, _) = sent.min_by_key(|(_, sent)| sent.sent_at.abs_diff(sent_at))?;
        Some(self.sent_reads.swap_remove(index))
    }

    /// Returns whether there is a slot and, for an engine, whether its work window fits `work` more
    /// prompt tokens.
    pub(crate) fn can_accept(
        &self,
        now: Duration,
        is_engine: bool,
        work: u64,
        others: UnderWay,
    ) -> bool {
        let fits = !is_engine || self.work_window.has_room_for(work, others.unread);
        fits && self.has_free_slot(now, is_engine, others)
    }

    /// Returns whether a slot is free or, for a plain call, will be free soon.
    pub(crate) fn has_free_slot(&self, now: Duration, is_engine: bool, others: UnderWay) -> bool {
        let may_queue = !is_engine && self.shed_tolerance.is_none();
        let requests = if may_queue { Self::CALLS_PER_SLOT } else { 1 };
        self.pending_requests(now, others) < self.listed.slots.saturating_mul(requests)
    }

    /// Predicts the duration of a call to a plain service, including its wait for a slot.
    pub(crate) fn predict_call_duration(&self, now: Duration, others: UnderWay) -> Duration {
        let slots = self.listed.slots.max(1);
        let turns = 1.0 + f64::from(self.pending_requests(now, others)) / f64::from(slots);
        let usual = self.call_duration.mul_f64(turns);
        self.momentary_speed.stretch(now, usual)
    }

    /// Updates the failure rate with an attempt that the upstream failed or did not fail. An
    /// upstream that fails some of its requests is better than none, so the rate only makes sounder
    /// upstreams preferred.
    pub(crate) fn update_failure_rate(&mut self, failed: bool) {
        let sample = f64::from(u8::from(failed));
        self.failure_rate = self.failure_rate * (1.0 - Self::SMOOTHING) + sample * Self::SMOOTHING;
    }

    /// Adds the expected cost of failures to `delay`, since each failed attempt is followed by
    /// another one.
    pub(crate) fn add_failure_cost(&self, delay: Duration) -> Duration {
        /// Least time that a failed attempt and its retry cost.
        const FAILURE: Duration = Duration::from_millis(300);
        delay + FAILURE.mul_f64(self.failure_rate)
    }

    /// Passes the upstream over for a time that doubles with each consecutive failure.
    pub(crate) fn start_backoff(&mut self, now: Duration) {
        let wait = Self::MIN_BACKOFF * (1 << self.consecutive_failures.min(4));
        self.consecutive_failures += 1;
        self.backoff_until = now + wait.min(Self::MAX_BACKOFF);
    }

    /// Ends the backoff after an answer.
    pub(crate) fn reset_backoff(&mut self) {
        self.consecutive_failures = 0;
        self.backoff_until = Duration::ZERO;
    }

    /// Updates the smoothed call duration with a call that took `took`, with the wait for a slot
    /// taken out.
    pub(crate) fn measure_call(&mut self, took: Duration) {
        let slots = f64::from(self.listed.slots.max(1));
        let turns = 1.0 + f64::from(self.in_flight) / slots;
        let sample = took.div_f64(turns);
        self.call_duration =
            self.call_duration.mul_f64(1.0 - Self::SMOOTHING) + sample.mul_f64(Self::SMOOTHING);
    }

    /// Updates the smoothed reading speed: `work` prompt tokens were read in `took`.
    pub(crate) fn measure_reading(&mut self, work: Tokens, took: Duration) {
        if work < Self::MIN_MEASURED_TOKENS || took.is_zero() {
            return;
        }
        let sample = work as f64 / took.as_secs_f64() / 1_000.0;
        let sample = sample.clamp(1.0, 1_000.0);
        self.own_reading_speed =
            self.own_reading_speed * (1.0 - Self::SMOOTHING) + sample * Self::SMOOTHING;
    }

    /// Returns the earliest time at which the limit of the upstream permits this VM's next request;
    /// `None` if this VM must not send.
    pub(crate) fn limit_opens_at(&self) -> Option<Duration> {
        let named = self.limit.as_ref();
        named.map_or(Some(Duration::ZERO), NamedLimit::opens_at)
    }

    /// Returns the time until the limit of the upstream permits this VM's next request; zero if this
    /// VM must not send.
    pub(crate) fn limit_wait(&self, now: Duration) -> Duration {
        let opens_at = self.limit_opens_at();
        opens_at.unwrap_or_default().saturating_sub(now)
    }

    /// Returns the limit that the upstream has named, with the upstream's short name.
    pub(crate) fn limit_mut(&mut self) -> Option<(UpstreamKey, &mut NamedLimit)> {
        let key = self.key;
        self.limit.as_mut().map(|named| (key, named))
    }

    pub(crate) fn fresh_report(&self, now: Duration) -> Option<(Duration, ReportedSlots)> {
        let (at, slots) = self.last_report?;
        let age = now.saturating_sub(at);
        (age < Self::REPORT_LIFETIME).then_some((age, slots))
    }
}
