use super::*;

/// Exit status of the process, by which scripts tell how a command ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExitStatus {
    /// The command succeeded.
    Done = 0,
    /// A document or preset file is not the expected JSON, the document is invalid, or a VM refused
    /// the request; nothing changed.
    Refused = 1,
    /// The command line is invalid, a file named on it cannot be read, the credential file is
    /// invalid, or the operating system supplies no random bytes; no change was sent.
    Usage = 2,
    /// The expected version is no longer in force because another change was made; nothing changed.
    Conflict = 3,
    /// No VM answered the request; no configuration change was made.
    Unreachable = 4,
    /// The answer to a change was lost; the change may have been made.
    Unknown = 5,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status as u8)
    }
}
