use super::*;

/// Network link from one region to another.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Link {
    /// One-way delay in milliseconds.
    pub delay_ms: u64,
    /// Bandwidth for all traffic in this direction, in megabits per second.
    pub megabits: u64,
}

impl Default for Link {
    /// Link that is assumed where the document describes none: slow, so that little is sent over
    /// it.
    fn default() -> Self {
        Self {
            delay_ms: 50,
            megabits: 100,
        }
    }
}

impl Link {
    /// One-way delay as a [`Duration`].
    #[must_use]
    pub fn delay(&self) -> Duration {
        Duration::from_millis(self.delay_ms)
    }
}
