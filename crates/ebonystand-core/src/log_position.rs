use super::*;

/// Index and term of a log entry. Entries with equal positions are equal.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LogPosition {
    /// Index of the entry in the log.
    pub index: LogIndex,
    /// Term of the leader that appended the entry.
    pub term: Term,
}

impl LogPosition {
    /// Returns whether a log that ends at this position has every committed entry of a log that
    /// ends at `other`.
    #[must_use]
    pub fn is_up_to_date_with(self, other: Self) -> bool {
        (self.term, self.index) >= (other.term, other.index)
    }
}
