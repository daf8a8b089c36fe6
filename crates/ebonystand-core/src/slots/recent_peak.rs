use super::*;

/// Highest value of a counter within a period that ends now.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecentPeak {
    /// Falling values, each with the time at which the counter left it; the last one is the current value.
    values: VecDeque<(Duration, u64)>,
    current: u64,
}

impl RecentPeak {
    /// Time for which a value counts: the longest time until all VMs have heard of a change of load.
    const PERIOD: Duration = Duration::from_millis(400);

    /// Records the value of the counter.
    pub(crate) fn set(&mut self, now: Duration, value: u64) {
        if value < self.current {
            while self
                .values
                .back()
                .is_some_and(|(_, older)| *older <= self.current)
            {
                self.values.pop_back();
            }
            self.values.push_back((now, self.current));
        }
        self.current = value;
        self.remove_expired(now);
    }

    /// Returns the highest value of the period.
    pub(crate) fn peak(&self, now: Duration) -> u64 {
        let recent = self
            .values
            .iter()
            .find(|(left, _)| now < *left + Self::PERIOD);
        recent.map_or(0, |(_, value)| *value).max(self.current)
    }

    fn remove_expired(&mut self, now: Duration) {
        while self
            .values
            .front()
            .is_some_and(|(left, _)| now >= *left + Self::PERIOD)
        {
            self.values.pop_front();
        }
    }
}
