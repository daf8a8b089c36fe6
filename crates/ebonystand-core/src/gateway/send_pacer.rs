use super::*;

/// Spaces the requests that one VM sends to an upstream.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SendPacer {
    next_send: Duration,
}

impl SendPacer {
    /// Idle time that is made up for, so that requests that come at uneven times can use the rate.
    const TOLERANCE: Duration = Duration::from_millis(250);

    /// Returns the earliest time of the next request.
    pub(crate) fn next_send_at(&self) -> Duration {
        self.next_send
    }

    /// Records a request sent now; they are to be `interval` apart.
    pub(crate) fn record_sent(&mut self, now: Duration, interval: Duration) {
        let earned = self.next_send.max(now.saturating_sub(Self::TOLERANCE));
        self.next_send = earned.saturating_add(interval);
    }

    /// Makes the next request possible within `interval`, after the rate has risen.
    pub(crate) fn hasten(&mut self, now: Duration, interval: Duration) {
        self.next_send = self.next_send.min(now.saturating_add(interval));
    }

    /// Makes the next request wait until `at` at least.
    pub(crate) fn delay_until(&mut self, at: Duration) {
        self.next_send = self.next_send.max(at);
    }
}
