use super::*;

/// Content of a [`LogEntry`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum LogPayload {
    /// Command for the state machine, opaque to the log.
    Command(Bytes),
    /// Membership of the group from this entry on.
    Members(Membership),
    /// Empty entry that a new leader appends first. Once it is committed, so are all entries before
    /// it.
    Noop,
}

impl LogPayload {
    /// Returns whether the entry holds no command or an empty one.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the size of the command in bytes; 0 for the other kinds.
    #[must_use]
    pub fn len(&self) -> usize {
        match self {
            Self::Command(command) => command.len(),
            Self::Members(_) | Self::Noop => 0,
        }
    }
}
