use super::*;

/// Point in time by which a request must be answered.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Deadline {
    at: Duration,
}

impl Deadline {
    /// Deadline of a request that came at `now` with the caller's limit; without one, or with a
    /// later one, the preset's counts.
    #[must_use]
    pub fn new(now: Duration, requested: Option<Duration>, preset: &Preset) -> Self {
        let preset_limit = Duration::from_millis(preset.deadline_ms);
        Self {
            at: now + requested.unwrap_or(preset_limit).min(preset_limit),
        }
    }

    /// When it passes.
    #[must_use]
    pub fn at(self) -> Duration {
        self.at
    }

    /// Whether it has passed.
    #[must_use]
    pub fn is_past(self, now: Duration) -> bool {
        now >= self.at
    }

    /// Time left.
    #[must_use]
    pub fn remaining(self, now: Duration) -> Duration {
        self.at.saturating_sub(now)
    }
}
