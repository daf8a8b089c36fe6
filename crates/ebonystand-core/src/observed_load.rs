use super::*;

/// Load of one upstream as this VM sees it: the last report, and the VM's own dispatches since.
#[derive(Clone, Debug, Default)]
pub(crate) struct ObservedLoad {
    /// Time at which the upstream measured the last report; none before the first one.
    reported_at: Option<Duration>,
    /// Moving average of the time to first token.
    first_token: Duration,
    /// Time at which an answer was last added to `first_token`.
    first_token_at: Duration,
    in_flight: u32,
    report: LoadReport,
    dispatches_since_report: VecDeque<SentDispatch>,
    tokens_since_report: Tokens,
}

/// A dispatch of this VM that no report includes yet.
#[derive(Clone, Copy, Debug)]
struct SentDispatch {
    at: Duration,
    tokens: Tokens,
}

impl ObservedLoad {
    /// Time without reports after which an upstream has probably lost its caches.
    const COLD_AFTER_SILENCE: Duration = Duration::from_secs(10);
    /// Half-life of the observed time to first token. It fades so that a slow upstream is tried
    /// again.
    const FIRST_TOKEN_HALF_LIFE: Duration = Duration::from_secs(5);
    /// Longest time for which the reported queue is assumed to drain. An older report cannot tell
    /// an idle upstream from one that has stopped reporting.
    const MAX_ASSUMED_DRAIN: Duration = Duration::from_secs(2);
    /// Largest number of dispatches that are tracked. Beyond it the oldest counts as already
    /// reported.
    const MAX_TRACKED_DISPATCHES: usize = 256;
    /// Number of slots that is assumed for an upstream that does not report it.
    const DEFAULT_SLOTS: u32 = 8;

    /// Work in generated tokens that is queued before a new request.
    pub(crate) fn work_ahead(&self, now: Duration, speed: f64, factor: f64) -> f64 {
        let queued = self.report.queued_tokens as f64;
        let sent = self.tokens_since_report as f64 * factor;
        let free = self.report.slots.saturating_sub(self.report.running);
        let mean =
            self.tokens_since_report as f64 / self.dispatches_since_report.len().max(1) as f64;
        let elapsed = now.saturating_sub(self.reported_at.unwrap_or_default());
        let drained = speed * elapsed.min(Self::MAX_ASSUMED_DRAIN).as_secs_f64();
        let ahead = queued + sent - f64::from(free) * mean - drained;
        ahead.max(0.0)
    }

    /// Adds the time to first token of an answer to the average.
    pub(crate) fn record_answer(&mut self, now: Duration, first_token: Duration) {
        self.first_token = (self.first_token * 7 + first_token) / 8;
        self.first_token_at = now;
    }

    pub(crate) fn record_end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Lower bound of the predicted time to first token in seconds, a quarter of the observed one.
    /// An upstream that is slow for a reason of its own reports an empty queue and would attract
    /// all requests. At ordinary load the prediction is well above this bound.
    pub(crate) fn min_first_token_s(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.first_token_at).as_secs_f64()
            / Self::FIRST_TOKEN_HALF_LIFE.as_secs_f64();
        self.first_token.as_secs_f64() / 4.0 * (-age).exp2()
    }

    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Requests on the upstream as a share of its slots; above 1 if requests wait.
    pub(crate) fn occupancy(&self, factor: f64) -> f64 {
        let reported = self.reported_requests();
        let sent = self.dispatches_since_report.len() as f64 * factor;
        (f64::from(reported) + sent) / f64::from(self.slots())
    }

    /// Records a report. Returns whether the upstream was silent for so long that its caches may be
    /// cold.
    pub(crate) fn record_report(&mut self, now: Duration, report: LoadReport) -> bool {
        let reported_at = now.saturating_sub(report.age);
        let previous = self.reported_at.unwrap_or(reported_at);
        if reported_at < previous {
            return false;
        }
        self.reported_at = Some(reported_at);
        self.report = report;
        while let Some(sent) = self
            .dispatches_since_report
            .front()
            .filter(|sent| sent.at <= reported_at)
        {
            self.tokens_since_report -= sent.tokens;
            self.dispatches_since_report.pop_front();
        }
        reported_at - previous > Self::COLD_AFTER_SILENCE
    }

    pub(crate) fn reported_requests(&self) -> u32 {
        self.report.running.saturating_add(self.report.waiting)
    }

    pub(crate) fn record_dispatch(&mut self, now: Duration, tokens: Tokens) {
        self.in_flight += 1;
        self.tokens_since_report += tokens;
        self.dispatches_since_report
            .push_back(SentDispatch { at: now, tokens });
        if self.dispatches_since_report.len() <= Self::MAX_TRACKED_DISPATCHES {
            return;
        }
        if let Some(oldest) = self.dispatches_since_report.pop_front() {
            self.tokens_since_report -= oldest.tokens;
        }
    }

    /// Number of requests that the batch can hold.
    pub(crate) fn slots(&self) -> u32 {
        match self.report.slots {
            0 => Self::DEFAULT_SLOTS,
            slots => slots,
        }
    }
}
