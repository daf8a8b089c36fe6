use super::*;

/// Time that work takes at an upstream at one moment, in percent of the usual time.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct WorkTime(u16);

impl WorkTime {
    /// Time that work usually takes.
    pub const USUAL: Self = Self(100);
    /// Least time, in percent of the usual one, that is believed.
    const MIN_PERCENT: u16 = 10;
    /// Longest time, in percent of the usual one, that is believed.
    const MAX_PERCENT: u16 = 2_000;
    /// Time, in percent of the usual one, from which an upstream counts as slow.
    const SLOW_PERCENT: u16 = 130;
    /// Time, in percent of the usual one, below which an upstream counts as fast.
    const FAST_PERCENT: u16 = 77;

    /// Returns the time for a figure in percent; `None` if nobody should believe it.
    #[must_use]
    pub fn from_percent(percent: f64) -> Option<Self> {
        let believed = f64::from(Self::MIN_PERCENT)..=f64::from(Self::MAX_PERCENT);
        believed
            .contains(&percent)
            .then(|| Self(percent.round() as u16))
    }

    /// Returns the time in percent of the usual one.
    #[must_use]
    pub fn percent(self) -> u16 {
        self.0
    }

    /// Returns the time as a multiple of the usual one.
    #[must_use]
    pub fn factor(self) -> f64 {
        f64::from(self.0) / 100.0
    }

    /// Returns whether work takes much longer than usual.
    #[must_use]
    pub fn is_slow(self) -> bool {
        self.0 >= Self::SLOW_PERCENT
    }

    /// Returns whether work takes about as long as usual.
    #[must_use]
    pub fn is_usual(self) -> bool {
        (Self::FAST_PERCENT..Self::SLOW_PERCENT).contains(&self.0)
    }

    /// Returns the time if it is one that is believed, whoever told it.
    pub(crate) fn checked(self) -> Option<Self> {
        Self::from_percent(f64::from(self.0))
    }
}
