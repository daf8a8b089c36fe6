use super::*;

/// State of the state machine that replaces all log entries up to a position.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LogSnapshot {
    /// Membership at `position`.
    pub members: Membership,
    /// Position of the last entry that the state contains.
    pub position: LogPosition,
    /// Encoded state, opaque to the log; empty in the snapshot that founds a group.
    pub state: Bytes,
}
