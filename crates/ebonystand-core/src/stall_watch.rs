use super::*;

/// Detects times in which the process did not run, by the gaps between its looks at the clock.
#[derive(Clone, Debug)]
pub struct StallWatch {
    last_observed: Duration,
}

impl StallWatch {
    /// Longest gap between two observations that ordinary lateness explains.
    pub const MAX_GAP: Duration = Duration::from_millis(500);
    /// Longest time to be left between two calls of [`Self::observe`].
    pub const OBSERVE_INTERVAL: Duration = Duration::from_millis(100);

    /// Creates the watch of a process that runs at `now`.
    #[must_use]
    pub fn new(now: Duration) -> Self {
        Self { last_observed: now }
    }

    /// Records that the process runs at `now`. Returns how long it may not have run if that is
    /// longer than [`Self::MAX_GAP`].
    pub fn observe(&mut self, now: Duration) -> Option<Duration> {
        let gap = now.saturating_sub(self.last_observed);
        self.last_observed = self.last_observed.max(now);
        (gap > Self::MAX_GAP).then_some(gap)
    }
}
