use super::*;

/// Speed at which an engine reads prompts, rounded for messages between VMs.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ReadingSpeed(u16);

impl ReadingSpeed {
    /// Slowest reading that is believed, in tenths of prompt tokens per millisecond.
    const MIN: u16 = 10;
    /// Fastest reading that is believed, in tenths of prompt tokens per millisecond.
    const MAX: u16 = 10_000;

    /// Returns the speed of an engine that has read `tokens` prompt tokens in `time`; `None` if nobody
    /// should believe it.
    #[must_use]
    pub fn measured(tokens: Tokens, time: Duration) -> Option<Self> {
        let tenths = tokens as f64 / time.as_secs_f64() / 100.0;
        let believed = f64::from(Self::MIN)..=f64::from(Self::MAX);
        believed
            .contains(&tenths)
            .then(|| Self(tenths.round() as u16))
    }

    /// Returns the speed in prompt tokens per millisecond.
    #[must_use]
    pub fn per_ms(self) -> f64 {
        f64::from(self.0) / 10.0
    }

    /// Returns the speed if it is one that is believed, whoever told it.
    pub(crate) fn checked(self) -> Option<Self> {
        (Self::MIN..=Self::MAX).contains(&self.0).then_some(self)
    }

    /// Rounds a speed in prompt tokens per millisecond.
    pub(crate) fn rounded(per_ms: f64) -> Self {
        let tenths = (per_ms * 10.0).round();
        Self((tenths as u16).clamp(Self::MIN, Self::MAX))
    }
}
