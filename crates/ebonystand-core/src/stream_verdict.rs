use super::*;

/// Action that a [`StreamGuard`] requires after an input.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StreamVerdict {
    /// The answer is broken: pass on no more of it, and never end it as if it were complete.
    Broken {
        /// Reason why the answer is incomplete.
        fault: StreamFault,
        /// What to do with the connection; always [`ConnectionAction::Close`].
        connection: ConnectionAction,
        /// How another dispatch may continue the answer.
        resumption: Resumption,
    },
    /// The answer is complete: pass on the bytes and end it.
    Complete {
        /// What to do with the connection.
        connection: ConnectionAction,
    },
    /// Pass on the bytes and continue reading.
    Continue,
    /// Drop the bytes: the answer has already ended.
    AlreadyEnded,
}
