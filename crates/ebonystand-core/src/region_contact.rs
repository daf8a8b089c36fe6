use super::*;

/// How long ago somebody of the sender's region had an answer from another region.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RegionContact {
    /// Milliseconds.
    pub age_ms: u64,
    /// The other region.
    pub region: RegionId,
}

impl RegionContact {
    /// Encoded length in bytes, at most.
    pub(crate) fn weight(&self) -> usize {
        text_encoded_len(&self.region) + varint_encoded_len(self.age_ms)
    }
}

/// Whole milliseconds of a time.
pub(crate) fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}
