use super::*;

/// Measures how fast the engines of a service stream their answers, from the streams that pass this
/// VM.
///
/// Engines read prompts between the tokens of the answers that they generate. An engine that reads
/// without a break generates a token in ten times the usual time, long before new requests wait
/// noticeably for their first byte, so the gap between events shows overload early.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct EventGapMeter {
    average_gap: SmoothedRate,
    last_event: Duration,
}

impl EventGapMeter {
    /// Age of the last event from which the average is ignored.
    const GAP_LIFETIME: Duration = Duration::from_secs(2);
    /// Time constant of the average: the weight of a sample falls to 1/e in this time.
    const SMOOTHING: Duration = Duration::from_millis(500);

    /// Records the time between two events of a stream.
    pub(crate) fn record_gap(&mut self, now: Duration, gap: Duration) {
        self.average_gap
            .add_sample(now, gap.as_secs_f64(), Self::SMOOTHING);
        self.last_event = now;
    }

    /// Returns the average time between two events; zero if none was seen recently.
    pub(crate) fn average(&self, now: Duration) -> Duration {
        match now.saturating_sub(self.last_event) > Self::GAP_LIFETIME {
            true => Duration::ZERO,
            false => Duration::from_secs_f64(self.average_gap.value()),
        }
    }
}
