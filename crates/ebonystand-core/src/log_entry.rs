use super::*;

/// Entry of the replicated log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LogEntry {
    /// Content of the entry.
    pub payload: LogPayload,
    /// Index and term of the entry.
    pub position: LogPosition,
}

impl LogEntry {
    /// Size that each entry adds to its command, in bytes, when messages are filled.
    pub const OVERHEAD_BYTES: usize = 32;
}
