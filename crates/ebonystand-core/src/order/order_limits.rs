use super::*;

/// Bounds of an [`OrderJournal`]. They are part of its state: replicas with different bounds would
/// answer one command differently.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OrderLimits {
    /// Bytes of one answer above which it is not stored.
    pub answer_bytes: usize,
    /// Bytes of all stored answers; those of the oldest keys are dropped first.
    pub answers_bytes: usize,
    /// Records above which no new order is granted.
    pub records: usize,
    /// Records of one workspace above which it gets no new grant, so that one workspace cannot
    /// fill the journal for all.
    pub records_per_workspace: usize,
    /// Time for which a key stays usable after it was minted, at the least.
    pub retention: Duration,
    /// Time by which a caller's clock may be ahead of the VM's.
    pub skew: Duration,
}

impl Default for OrderLimits {
    fn default() -> Self {
        Self {
            answer_bytes: 64 << 10,
            answers_bytes: 8 << 20,
            records: 50_000,
            records_per_workspace: 25_000,
            retention: Duration::from_hours(24),
            skew: Duration::from_mins(5),
        }
    }
}
