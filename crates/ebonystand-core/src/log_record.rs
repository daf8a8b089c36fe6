use super::*;

/// Change of a replica's [`DurableState`]. Records must be made durable in the order in which they
/// are returned.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum LogRecord {
    /// Appends an entry after dropping the entries at its index and above.
    Append(LogEntry),
    /// Replaces the term and vote.
    HardState(HardState),
    /// Replaces the entries up to the snapshot's position. Entries after it are kept only if the
    /// entry at that position is the snapshot's last entry.
    Snapshot(LogSnapshot),
}
