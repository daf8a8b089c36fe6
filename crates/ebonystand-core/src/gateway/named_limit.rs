use super::*;

/// What a VM knows of the limit of an upstream, from its answers or from other VMs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NamedLimit {
    /// Limit in force; `None` after it has ended.
    pub(crate) limit: Option<UpstreamLimit>,
    /// Time at which the limit took its present value or ended.
    pub(crate) changed_at: Duration,
    /// Time of the latest answer that the knowledge rests on.
    pub(crate) named_at: Duration,
    /// Time at which this VM last told others of it.
    pub(crate) reported_at: Option<Duration>,
    /// Time between two requests of this VM; `None` if it must not send.
    pub(crate) interval: Option<Duration>,
    pub(crate) pacer: SendPacer,
}

impl NamedLimit {
    /// Time for which the end of a limit is told to other VMs.
    pub(crate) const ENDED_HOLD: Duration = Duration::from_secs(10);
    /// Time without word of a limit after which VMs other than its senders send too, each at its
    /// part of the limit. Otherwise a VM that missed the end would never use the upstream again.
    pub(crate) const STALE_AFTER: Duration = Duration::from_secs(60);
    /// Time between two messages about an unchanged limit.
    const REPORT_INTERVAL: Duration = Duration::from_secs(1);

    /// Creates the knowledge of an upstream without a limit so far.
    pub(crate) fn new(now: Duration) -> Self {
        Self {
            limit: None,
            changed_at: now,
            named_at: now,
            reported_at: None,
            interval: None,
            pacer: SendPacer::default(),
        }
    }

    /// Returns the earliest time of this VM's next request; `None` if it must not send.
    pub(crate) fn opens_at(&self) -> Option<Duration> {
        match (self.limit, self.interval) {
            (None, _) => Some(Duration::ZERO),
            (Some(_), Some(_)) => Some(self.pacer.next_send_at()),
            (Some(_), None) => None,
        }
    }

    /// Returns whether what another VM has heard adds nothing to this knowledge. The same limit has to
    /// be younger by half of [`Self::REPORT_INTERVAL`]: the time of a message under way is not part
    /// of its age, so that two VMs would otherwise keep telling each other of one answer.
    pub(crate) fn covers(&self, heard: HeardLimit) -> bool {
        let needed = match self.limit == heard.limit {
            true => self.named_at + Self::REPORT_INTERVAL / 2,
            false => self.named_at,
        };
        heard.named_at <= needed
    }

    /// Returns whether this VM has told others of the limit recently.
    pub(crate) fn is_reported(&self, now: Duration) -> bool {
        self.reported_at
            .is_some_and(|at| now < at + Self::REPORT_INTERVAL)
    }

    /// Records that this VM sends a request.
    pub(crate) fn record_sent(&mut self, now: Duration) {
        if let Some(interval) = self.interval.filter(|_| self.limit.is_some()) {
            self.pacer.record_sent(now, interval);
        }
    }

    /// Adopts this VM's share of the limit in force.
    pub(crate) fn update_share(&mut self, now: Duration, share: LimitShare) {
        let is_stale = now.saturating_sub(self.named_at) >= Self::STALE_AFTER;
        let interval = match share.is_sender {
            true => Some(share.interval),
            false => is_stale.then_some(share.stale_interval),
        };
        if self.interval.is_none() && !share.is_sender && is_stale {
            self.pacer.delay_until(now + share.stale_phase);
        }
        if let Some(interval) = interval {
            self.pacer.hasten(now, interval);
        }
        self.interval = interval;
    }
}
