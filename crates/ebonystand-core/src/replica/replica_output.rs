use super::*;

/// What a [`Replica`] wants done, in this order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReplicaOutput {
    /// An entry is committed; each index comes once per start, in order.
    Commit {
        /// The entry.
        entry: LogEntry,
    },
    /// The state machine starts anew from this state; commits go on behind it.
    InstallSnapshot {
        /// The snapshot.
        snapshot: LogSnapshot,
    },
    /// Records are to be appended and synced, then `Persisted` is due.
    Persist {
        /// The records, in order.
        records: Vec<LogRecord>,
        /// Number of this batch.
        token: PersistToken,
    },
    /// What became of a proposal; `Commit` of its entry came before.
    Proposed {
        /// Proposer's number.
        id: ProposalId,
        /// Index of the committed entry.
        result: Result<LogIndex, ProposalFault>,
    },
    /// What became of a read barrier.
    Readable {
        /// Reader's number.
        id: ProposalId,
        /// The state after this index, which is committed here, shows everything acknowledged
        /// before the barrier was asked for.
        result: Result<LogIndex, ProposalFault>,
    },
    /// The role changed; for logs.
    Role {
        /// The new role.
        role: ReplicaRole,
        /// Term of that role.
        term: Term,
    },
    /// A message is to be sent; it may be lost, doubled or late.
    Send {
        /// The message.
        message: ReplicaMessage,
        /// VM that it goes to.
        to: VmId,
    },
    /// The state after this index is to be handed in by `SnapshotTaken`.
    TakeSnapshot {
        /// Last committed entry.
        index: LogIndex,
    },
}
