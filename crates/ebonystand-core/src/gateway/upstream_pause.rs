use super::*;

/// Pause that an upstream has asked this VM for, and the probe after it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct UpstreamPause {
    /// Whether the first request after the pause is in flight. Until it is answered no other is sent,
    /// so that the requests that the pause held back do not arrive together.
    is_probing: bool,
    until: Duration,
}

impl UpstreamPause {
    /// Extends the pause. A shorter one that is asked for later does not end a longer one.
    pub(crate) fn extend(&mut self, until: Duration) {
        self.until = self.until.max(until);
    }

    pub(crate) fn allows_dispatch(&self, now: Duration) -> bool {
        now >= self.until && !self.is_probing
    }

    pub(crate) fn remaining(&self, now: Duration) -> Duration {
        self.until.saturating_sub(now)
    }

    pub(crate) fn record_sent(&mut self, now: Duration) {
        self.is_probing |= now >= self.until;
    }

    /// Records that a request has ended, so that another one may probe.
    pub(crate) fn record_end(&mut self) {
        self.is_probing = false;
    }
}
