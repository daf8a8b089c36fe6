use super::*;

/// Age of the last answer that any VM of the sender's region got from another region.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RegionContact {
    /// Time since the answer, in milliseconds.
    pub age_ms: u64,
    /// Region that answered.
    pub region: RegionId,
}

impl RegionContact {
    /// Returns an upper bound of the encoded length in bytes.
    pub(crate) fn max_encoded_len(&self) -> usize {
        text_encoded_len(&self.region) + varint_encoded_len(self.age_ms)
    }
}

/// Converts a time to whole milliseconds.
pub(crate) fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}
