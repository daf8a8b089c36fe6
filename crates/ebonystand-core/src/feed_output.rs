use super::*;

/// What [`Feed`] asks its process to do, in this order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FeedOutput {
    /// Put a change in force: [`Catalog::follow`].
    Apply {
        /// The change; always of the next version.
        change: AcceptedChange,
    },
    /// Put a document in force: [`Catalog::install`].
    Install {
        /// The document; always newer.
        document: Box<Document>,
    },
    /// Append to the log; asked of its leader only, and again until the document shows it.
    Propose {
        /// The change.
        req: ChangeRequest,
    },
    /// A question for a newer configuration ended; only to be noted.
    PullEnded {
        /// How.
        end: PullEnd,
        /// The VM that was asked.
        from: VmId,
        /// Time since the question; none for a late answer.
        waited: Option<Duration>,
    },
    /// The VM may serve from now on.
    Ready,
    /// Send a message.
    Send {
        /// What.
        message: FeedMessage,
        /// Where to.
        to: VmId,
    },
    /// A key works no more: end what runs with it.
    Withdrawn {
        /// The key.
        key: KeyId,
    },
}
