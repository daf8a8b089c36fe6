use super::*;

/// Rate at which an upstream takes requests from all VMs together, as its answers name it.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[display("{} per second", self.per_s())]
pub struct UpstreamLimit {
    /// Time between two requests.
    interval: Duration,
}

impl UpstreamLimit {
    /// Largest limit that is accepted, in requests per second.
    pub const MAX_PER_S: f64 = 1_000_000.0;
    /// VMs that send to an upstream however small its limit is.
    const MIN_SENDERS: usize = 4;
    /// Smallest limit that is accepted, in requests per second: one request in some eleven days.
    pub const MIN_PER_S: f64 = 0.000_001;

    /// Parses a decimal number of requests per second.
    ///
    /// # Errors
    /// [`UpstreamLimitError`] unless `text` consists of digits and at most one decimal point and
    /// lies between [`Self::MIN_PER_S`] and [`Self::MAX_PER_S`].
    pub fn parse(text: &str) -> Result<Self, UpstreamLimitError> {
        let is_decimal = text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
        let per_s = text.parse::<f64>().ok().filter(|_| is_decimal);
        let per_s = per_s.ok_or_else(|| UpstreamLimitError::not_decimal(text))?;
        if !(Self::MIN_PER_S..=Self::MAX_PER_S).contains(&per_s) {
            return Err(UpstreamLimitError::OutOfRange { per_s });
        }
        Ok(Self {
            interval: Duration::from_secs_f64(per_s.recip()),
        })
    }

    /// Time between two requests of all VMs together.
    #[must_use]
    pub fn interval(self) -> Duration {
        self.interval
    }

    /// Most VMs that send to the upstream. Each spaces its requests on its own, so a window can have
    /// one request more than the limit for each of them. With the limit itself as their number, and
    /// a few more so that a small limit does not depend on one VM, a window of four seconds stays
    /// below one and a half times the limit and five.
    pub(crate) fn max_senders(self) -> usize {
        Self::MIN_SENDERS + self.per_s() as usize
    }

    /// Requests per second of all VMs together.
    #[must_use]
    pub fn per_s(self) -> f64 {
        self.interval.as_secs_f64().recip()
    }
}
