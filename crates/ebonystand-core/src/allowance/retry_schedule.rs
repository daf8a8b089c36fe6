use super::*;

/// Backlog of refused claims, from which each refused one gets its own retry time.
///
/// The retry time is when the rate will have served all claims refused before. Given the same time,
/// they would all return at once and be refused again.
#[derive(Debug, Default)]
pub(crate) struct RetrySchedule {
    updated_at: Duration,
    /// Micro-tokens of refused claims whose retry time is still to come.
    scheduled: MicroTokens,
}

impl RetrySchedule {
    /// Adds a refused claim; returns the time until its retry.
    pub(crate) fn schedule_retry(
        &mut self,
        now: Duration,
        need: MicroTokens,
        rate: MicroTokens,
    ) -> Duration {
        let part = AllowancePart { capacity: 0, rate };
        let served = part.accrual(now.saturating_sub(self.updated_at));
        self.updated_at = now;
        self.scheduled = self.scheduled.saturating_sub(served).saturating_add(need);
        accrual_time(self.scheduled, rate)
    }
}
