use super::*;

/// Exponential moving average of a rate that is sampled at irregular times.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SmoothedRate {
    /// Time of the last sample.
    sampled_at: Option<Duration>,
    value: f64,
}

impl SmoothedRate {
    /// Adds a sample in any unit. `constant` is the time after which an old sample's weight has
    /// fallen to 1/e.
    pub fn add_sample(&mut self, now: Duration, rate: f64, constant: Duration) {
        let weight = match self.sampled_at {
            Some(sampled_at) => {
                let age = now.saturating_sub(sampled_at).as_secs_f64();
                1.0 - (-age / constant.as_secs_f64().max(f64::EPSILON)).exp()
            }
            None => 1.0,
        };
        self.sampled_at = Some(now);
        self.value += (rate - self.value) * weight;
    }

    /// Current average, in the unit of the samples; 0 before the first one.
    #[must_use]
    pub fn value(&self) -> f64 {
        self.value
    }
}
