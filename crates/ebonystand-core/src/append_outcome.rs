use super::*;

/// Result of comparing a leader's entries with a replica's log.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum AppendOutcome {
    /// The replica's log equals the leader's up to `index` and is durable up to there.
    Matched {
        /// Last index up to which the logs are known to be equal.
        index: LogIndex,
    },
    /// The replica lacks the entry that precedes the received entries, or the sender's term is
    /// over.
    Mismatch {
        /// Last index up to which the logs may be equal.
        hint: LogIndex,
    },
}
