use super::*;

/// What became of a [`QueueEntry`] that was pushed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum QueueOutcome {
    /// It waits.
    Queued,
    /// It waits, and an entry of the workspace with the longest backlog was shed for it.
    QueuedAfterShedding {
        /// The entry that was shed; its caller gets [`FairQueue::refusal`].
        shed: QueueEntry,
    },
    /// It may be dispatched at once.
    Started,
    /// It is not queued.
    Shed {
        /// Final answer to the caller.
        refusal: Refusal,
    },
}
