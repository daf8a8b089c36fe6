use super::*;

/// Requests that were told when to come back.
///
/// Each is told the time at which the rate will have served those told before it: were all told
/// the same, they would come together and be refused again.
#[derive(Debug, Default)]
pub(crate) struct Returns {
    at: Duration,
    /// Micro-tokens of those that have not come back yet.
    promised: MicroTokens,
}

impl Returns {
    /// When one more is to come back.
    pub(crate) fn next(&mut self, now: Duration, need: MicroTokens, rate: MicroTokens) -> Duration {
        let part = AllowancePart { capacity: 0, rate };
        let served = part.accrual(now.saturating_sub(self.at));
        self.at = now;
        self.promised = self.promised.saturating_sub(served).saturating_add(need);
        time_for(self.promised, rate)
    }
}
