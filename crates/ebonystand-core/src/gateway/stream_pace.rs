use super::*;

/// How fast the engines of a service answer, by the streams that pass this VM.
///
/// Engines read prompts between the tokens of the answers that they give. One that reads all the time gives
/// a token in ten times the usual time, long before a new request has to wait for its first one.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StreamPace {
    gap: SmoothedRate,
    seen: Duration,
}

impl StreamPace {
    /// A gap that is older tells nothing.
    const LIFE: Duration = Duration::from_secs(2);
    /// Time after which an old gap weighs 1/e.
    const SMOOTHING: Duration = Duration::from_millis(500);

    /// Notes the time between two events of a stream.
    pub(crate) fn note(&mut self, now: Duration, gap: Duration) {
        self.gap.add_sample(now, gap.as_secs_f64(), Self::SMOOTHING);
        self.seen = now;
    }

    /// Time between two events; zero if none was seen lately.
    pub(crate) fn gap(&self, now: Duration) -> Duration {
        match now.saturating_sub(self.seen) > Self::LIFE {
            true => Duration::ZERO,
            false => Duration::from_secs_f64(self.gap.value()),
        }
    }
}
