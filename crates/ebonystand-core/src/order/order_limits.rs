use super::*;

/// Limits of an [`OrderJournal`]. They are part of its state: replicas with different limits would
/// answer the same command differently.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OrderLimits {
    /// Maximum size of a stored answer, in bytes. Larger answers aren't stored.
    pub answer_bytes: usize,
    /// Maximum total size of the stored answers, in bytes. The answers of the oldest keys are
    /// dropped first.
    pub answers_bytes: usize,
    /// Maximum number of records. At the limit no new order is granted.
    pub records: usize,
    /// Maximum number of records of one workspace, so that one workspace cannot fill the journal.
    pub records_per_workspace: usize,
    /// Minimum time for which a key stays usable after it was minted.
    pub retention: Duration,
    /// Maximum time by which a caller's clock may be ahead of the VM's clock.
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
