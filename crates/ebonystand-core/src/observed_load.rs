use super::*;

/// Load of one upstream as this VM knows it: the last report, and its own dispatches since.
#[derive(Clone, Debug, Default)]
pub(crate) struct ObservedLoad {
    reported_at: Option<Duration>,
    /// Time to first token of the last answers, averaged.
    first_token: Duration,
    /// When the last of them came.
    first_token_at: Duration,
    in_flight: u32,
    report: LoadReport,
    unreported: VecDeque<SentDispatch>,
    unreported_tokens: Tokens,
}

#[derive(Clone, Copy, Debug)]
struct SentDispatch {
    at: Duration,
    tokens: Tokens,
}

impl ObservedLoad {
    /// An upstream that was silent for this long has probably lost its caches.
    const COLD_AFTER_SILENCE: Duration = Duration::from_secs(10);
    /// Time in which what was observed loses half its weight, so that the upstream is tried again.
    const FIRST_TOKEN_HALF_LIFE: Duration = Duration::from_secs(5);
    /// Time for which a reported queue is taken to drain. After it the report is too old to
    /// tell an idle upstream from one that no longer reports.
    const MAX_ASSUMED_DRAIN: Duration = Duration::from_secs(2);
    /// Dispatches that are remembered; older ones are dropped as if reported.
    const MAX_TRACKED_DISPATCHES: usize = 256;
    /// Batch places assumed for an upstream that does not tell.
    const DEFAULT_SLOTS: u32 = 8;

    /// Work in front of a new request, in generated tokens.
    pub(crate) fn work_ahead(&self, now: Duration, speed: f64, factor: f64) -> f64 {
        let queued = self.report.queued_tokens as f64;
        let sent = self.unreported_tokens as f64 * factor;
        let free = self.report.slots.saturating_sub(self.report.running);
        let mean = self.unreported_tokens as f64 / self.unreported.len().max(1) as f64;
        let elapsed = now.saturating_sub(self.reported_at.unwrap_or_default());
        let drained = speed * elapsed.min(Self::MAX_ASSUMED_DRAIN).as_secs_f64();
        let ahead = queued + sent - f64::from(free) * mean - drained;
        ahead.max(0.0)
    }

    /// Notes the time to first token of an answer.
    pub(crate) fn record_answer(&mut self, now: Duration, first_token: Duration) {
        self.first_token = (self.first_token * 7 + first_token) / 8;
        self.first_token_at = now;
    }

    pub(crate) fn record_end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Time to first token in seconds that is to be expected whatever the upstream reports: a
    /// quarter of what was observed. An upstream that is slow for a reason of its own reports an
    /// idle queue, and would draw all requests; in ordinary times the prediction is well above.
    pub(crate) fn min_first_token_s(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.first_token_at).as_secs_f64()
            / Self::FIRST_TOKEN_HALF_LIFE.as_secs_f64();
        self.first_token.as_secs_f64() / 4.0 * (-age).exp2()
    }

    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Share of the batch that is in use; above 1 if requests wait.
    pub(crate) fn occupancy(&self, factor: f64) -> f64 {
        let reported = self.report.running + self.report.waiting;
        let sent = self.unreported.len() as f64 * factor;
        (f64::from(reported) + sent) / f64::from(self.slots())
    }

    /// Takes a report; true if the upstream was silent for so long that it may be cold.
    pub(crate) fn record_report(&mut self, now: Duration, report: LoadReport) -> bool {
        let reported_at = now.saturating_sub(report.age);
        let previous = self.reported_at.unwrap_or(reported_at);
        if reported_at < previous {
            return false;
        }
        self.reported_at = Some(reported_at);
        self.report = report;
        while let Some(sent) = self
            .unreported
            .front()
            .filter(|sent| sent.at <= reported_at)
        {
            self.unreported_tokens -= sent.tokens;
            self.unreported.pop_front();
        }
        reported_at - previous > Self::COLD_AFTER_SILENCE
    }

    pub(crate) fn reported_requests(&self) -> u32 {
        self.report.running + self.report.waiting
    }

    pub(crate) fn record_dispatch(&mut self, now: Duration, tokens: Tokens) {
        self.in_flight += 1;
        self.unreported_tokens += tokens;
        self.unreported.push_back(SentDispatch { at: now, tokens });
        if self.unreported.len() <= Self::MAX_TRACKED_DISPATCHES {
            return;
        }
        if let Some(oldest) = self.unreported.pop_front() {
            self.unreported_tokens -= oldest.tokens;
        }
    }

    /// Requests that the batch can hold.
    pub(crate) fn slots(&self) -> u32 {
        match self.report.slots {
            0 => Self::DEFAULT_SLOTS,
            slots => slots,
        }
    }
}
