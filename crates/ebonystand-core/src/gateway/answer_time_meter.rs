use super::*;

/// Measures how long whole answers take, from those that pass this VM.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AnswerTimeMeter {
    /// Smoothed distance of a sample from the average, in seconds.
    deviation: f64,
    /// Smoothed average, in seconds.
    mean: f64,
}

impl AnswerTimeMeter {
    /// Deviations above the average within which almost all answers end.
    const DEVIATIONS: f64 = 4.0;
    /// Weight of a new sample in both averages.
    const SMOOTHING: f64 = 0.03;

    /// Creates the meter with its first sample, whose distance from the average is not known.
    pub(crate) fn new(took: Duration) -> Self {
        let mean = took.as_secs_f64();
        Self {
            deviation: mean / 2.0,
            mean,
        }
    }

    /// Records the time that a whole answer took.
    pub(crate) fn record(&mut self, took: Duration) {
        let distance = took.as_secs_f64() - self.mean;
        self.deviation += (distance.abs() - self.deviation) * Self::SMOOTHING;
        self.mean += distance * Self::SMOOTHING;
    }

    /// Returns the time within which almost all answers end.
    pub(crate) fn upper_bound(&self) -> Duration {
        Duration::from_secs_f64(self.mean + self.deviation * Self::DEVIATIONS)
    }
}
