use super::*;

/// Exponentially smoothed rate of samples that come at any times.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SmoothedRate {
    at: Option<Duration>,
    value: f64,
}

impl SmoothedRate {
    /// Takes a sample; `constant` is the time after which an old sample weighs 1/e.
    pub fn add_sample(&mut self, now: Duration, rate: f64, constant: Duration) {
        let weight = match self.at {
            Some(at) => {
                let age = now.saturating_sub(at).as_secs_f64();
                1.0 - (-age / constant.as_secs_f64().max(f64::EPSILON)).exp()
            }
            None => 1.0,
        };
        self.at = Some(now);
        self.value += (rate - self.value) * weight;
    }

    /// The smoothed rate.
    #[must_use]
    pub fn value(&self) -> f64 {
        self.value
    }
}
