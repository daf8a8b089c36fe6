use super::*;

/// Result of pushing a [`QueueEntry`] into a [`FairQueue`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum QueueOutcome {
    /// The request waits in the queue.
    Queued,
    /// The request waits in the queue, and an entry of the workspace with the longest backlog was
    /// shed to make room for it.
    QueuedAfterShedding {
        /// Entry that was shed. Its caller gets [`FairQueue::refusal`].
        shed: QueueEntry,
    },
    /// The request has a slot and may be dispatched at once.
    Started,
    /// The request was not queued.
    Shed {
        /// Final answer to the caller.
        refusal: Refusal,
    },
}
