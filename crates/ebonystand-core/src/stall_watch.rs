use super::*;

/// Detects times in which the process did not run, by the gaps between its looks at the clock.
#[derive(Clone, Debug)]
pub struct StallWatch {
    last_observed: Duration,
    /// Time at which the latest stall was noticed.
    resumed: Option<Duration>,
}

impl StallWatch {
    /// Time after a stall within which a process that runs on reads what waited in its sockets.
    pub const CATCH_UP_TIME: Duration = Duration::from_secs(1);
    /// Longest gap between two observations that ordinary lateness explains.
    pub const MAX_GAP: Duration = Duration::from_millis(500);
    /// Longest time to be left between two calls of [`Self::observe`].
    pub const OBSERVE_INTERVAL: Duration = Duration::from_millis(100);

    /// Creates the watch of a process that runs at `now`.
    #[must_use]
    pub fn new(now: Duration) -> Self {
        Self {
            last_observed: now,
            resumed: None,
        }
    }

    /// Records that the process runs at `now`. Returns how long it may not have run if that is
    /// longer than [`Self::MAX_GAP`].
    pub fn observe(&mut self, now: Duration) -> Option<Duration> {
        let gap = now.saturating_sub(self.last_observed);
        self.last_observed = self.last_observed.max(now);
        if gap <= Self::MAX_GAP {
            return None;
        }
        self.resumed = Some(now);
        Some(gap)
    }

    /// Returns whether what is read at `now` may have waited in a socket for longer than
    /// [`Self::MAX_GAP`]. The process must have been observed at `now`.
    #[must_use]
    pub fn may_have_waited(&self, now: Duration) -> bool {
        let resumed = self.resumed;
        resumed.is_some_and(|resumed| now.saturating_sub(resumed) < Self::CATCH_UP_TIME)
    }
}
