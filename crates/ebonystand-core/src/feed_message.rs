use super::*;

/// Message between VMs about the configuration. Only the first part of a copy grows with the
/// document, by its routes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum FeedMessage {
    /// Asks for [`FeedMessage::Version`].
    Ask,
    /// The changes that follow a version, pushed or asked for; none where the receiver is to pull.
    Changes {
        /// Consecutive changes.
        changes: Vec<AcceptedChange>,
        /// Version in force on the sender.
        version: Version,
    },
    /// Entries of the document.
    Part {
        /// The entries.
        part: Box<DocumentPart>,
    },
    /// Asks for the changes after a version, or for the first part of the document.
    Pull {
        /// Version in force on the sender.
        after: Version,
    },
    /// Asks for the entries that follow.
    PullPart {
        /// Place reached.
        cursor: DocumentCursor,
    },
    /// Asks for withdrawn keys.
    PullWithdrawn {
        /// Key reached.
        after: Option<KeyId>,
    },
    /// Answer to [`FeedMessage::Ask`].
    Version {
        /// The sender leads the log, holds a lease, and has applied all that was committed.
        leading: bool,
        /// Version in force on the sender.
        version: Version,
        /// First page of the sender's [`Withdrawals`].
        withdrawals: Vec<Withdrawal>,
    },
    /// Withdrawn keys, pushed or asked for.
    Withdrawn {
        /// Some of the sender's [`Withdrawals`].
        withdrawals: Vec<Withdrawal>,
    },
}

impl FeedMessage {
    pub(crate) fn part(document: &Document, cursor: DocumentCursor) -> Self {
        Self::Part {
            part: Box::new(document.part(cursor)),
        }
    }
}
