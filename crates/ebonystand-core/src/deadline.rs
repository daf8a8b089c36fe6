use super::*;

/// Time by which a request must be answered.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Deadline {
    at: Duration,
}

impl Deadline {
    /// Deadline of a request that arrived at `now`: the earlier of the caller's limit, if there is
    /// one, and the preset's limit.
    #[must_use]
    pub fn new(now: Duration, requested: Option<Duration>, preset: &Preset) -> Self {
        let preset_limit = Duration::from_millis(preset.deadline_ms);
        Self {
            at: now + requested.unwrap_or(preset_limit).min(preset_limit),
        }
    }

    /// Time at which the deadline passes.
    #[must_use]
    pub fn at(self) -> Duration {
        self.at
    }

    /// Whether the deadline has passed.
    #[must_use]
    pub fn is_past(self, now: Duration) -> bool {
        now >= self.at
    }

    /// Time left until the deadline; zero once it has passed.
    #[must_use]
    pub fn remaining(self, now: Duration) -> Duration {
        self.at.saturating_sub(now)
    }
}
