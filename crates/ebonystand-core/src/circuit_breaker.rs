use super::*;

/// Circuit breaker of one upstream. After a few consecutive failures the upstream gets no requests
/// for a while, then one at a time until one succeeds.
///
/// Without it, a VM keeps sending requests to a dead upstream whose last report showed it idle, and
/// each of them waits for its first-byte timeout.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct CircuitBreaker {
    consecutive_failures: u32,
    open_until: Duration,
    is_probing: bool,
}

impl CircuitBreaker {
    /// Longest time for which an open circuit lets no request through.
    const MAX_OPEN_TIME: Duration = Duration::from_secs(30);
    /// Time for which the circuit lets no request through once it opens. It doubles with each
    /// further failure.
    const MIN_OPEN_TIME: Duration = Duration::from_secs(1);
    /// Number of consecutive failures that opens the circuit.
    const FAILURE_THRESHOLD: u32 = 3;

    /// Whether a request may be sent now: the circuit is closed, or due for a probe.
    pub(crate) fn allows_dispatch(&self, now: Duration) -> bool {
        self.consecutive_failures < Self::FAILURE_THRESHOLD
            || (now >= self.open_until && !self.is_probing)
    }

    /// Records the end of a dispatch. Returns whether the circuit was opened or closed by it.
    pub(crate) fn record_end(&mut self, now: Duration, end: DispatchEnd) -> bool {
        self.is_probing = false;
        match end {
            DispatchEnd::Answered { .. } => {
                std::mem::take(&mut self.consecutive_failures) >= Self::FAILURE_THRESHOLD
            }
            DispatchEnd::Cancelled => false,
            DispatchEnd::Failed | DispatchEnd::TimedOut => {
                self.consecutive_failures = self.consecutive_failures.saturating_add(1);
                let Some(excess_failures) = self
                    .consecutive_failures
                    .checked_sub(Self::FAILURE_THRESHOLD)
                else {
                    return false;
                };
                let wait = Self::MIN_OPEN_TIME * (1 << excess_failures.min(5));
                self.open_until = now + wait.min(Self::MAX_OPEN_TIME);
                excess_failures == 0
            }
        }
    }

    /// Time until an open circuit lets a probe through.
    pub(crate) fn time_until_probe(&self, now: Duration) -> Duration {
        self.open_until.saturating_sub(now)
    }

    pub(crate) fn record_dispatch(&mut self) {
        self.is_probing = self.consecutive_failures >= Self::FAILURE_THRESHOLD;
    }
}
