use super::*;

/// Message between VMs that distributes the configuration. Only the first part of a copy grows with
/// the document, by its routes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum FeedMessage {
    /// Asks for the receiver's [`FeedMessage::Version`].
    Ask {
        /// Number of the question, which the answer repeats.
        question: u64,
    },
    /// Carries the changes that follow a version, pushed or as an answer. An empty list announces a
    /// version that the receiver has to pull.
    Changes {
        /// Changes of consecutive versions, the oldest first.
        changes: Vec<AcceptedChange>,
        /// Version in force on the sender.
        version: Version,
    },
    /// Carries a part of the sender's document.
    Part {
        /// Entries and position of the part.
        part: Box<DocumentPart>,
    },
    /// Asks for the changes after a version. The answer is the first part of the document if the
    /// changes are no longer kept.
    Pull {
        /// Version in force on the sender.
        after: Version,
    },
    /// Asks for the part of the document that starts after a position.
    PullPart {
        /// Position that the sender's copy has reached.
        cursor: DocumentCursor,
    },
    /// Asks for a page of withdrawn keys.
    PullWithdrawn {
        /// Last key of the page before; `None` asks for the first page.
        after: Option<KeyId>,
    },
    /// Answers a [`FeedMessage::Ask`].
    Version {
        /// Whether the sender leads the log, holds a lease, and has applied all committed changes.
        leading: bool,
        /// Number of the question, copied from it.
        question: u64,
        /// Version in force on the sender.
        version: Version,
        /// First page of the sender's [`Withdrawals`].
        withdrawals: Vec<Withdrawal>,
    },
    /// Carries withdrawn keys, pushed or as an answer.
    Withdrawn {
        /// Page of the sender's [`Withdrawals`], or those that it has just learned of.
        withdrawals: Vec<Withdrawal>,
    },
}

impl FeedMessage {
    /// Creates a [`FeedMessage::Part`] with the part of `document` that starts after `cursor`.
    pub(crate) fn part(document: &Document, cursor: DocumentCursor) -> Self {
        Self::Part {
            part: Box::new(document.read_part(cursor)),
        }
    }
}
