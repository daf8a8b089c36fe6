use super::*;

/// Action that a driver must carry out for a [`Replica`], in the order returned.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReplicaOutput {
    /// Apply a committed entry. Entries come in order, each index once after each start.
    Commit {
        /// Entry to apply. It carries its position in the log.
        entry: LogEntry,
    },
    /// Replace the state of the state machine by a snapshot. Later commits follow the snapshot.
    InstallSnapshot {
        /// State that replaces the current one, with its position in the log.
        snapshot: LogSnapshot,
    },
    /// Append the records to the storage, sync them and report [`ReplicaInput::Persisted`].
    Persist {
        /// Records in the order in which they must be written.
        records: Vec<LogRecord>,
        /// Number of this batch, to return once its records are synced.
        token: PersistToken,
    },
    /// Report the result of a proposal. The `Commit` of a committed entry precedes it.
    ProposalDone {
        /// Number that the proposer assigned to its request.
        id: ProposalId,
        /// Index of the committed entry, or the reason why the proposal failed.
        result: Result<LogIndex, ProposalError>,
    },
    /// Report the result of a read barrier.
    ReadBarrierDone {
        /// Number that the reader assigned to its request.
        id: ProposalId,
        /// Committed index up to which the reader must have applied entries. That state contains
        /// every command acknowledged before the barrier was requested.
        result: Result<LogIndex, ProposalError>,
    },
    /// Log that the replica's role has changed.
    RoleChanged {
        /// Role that the replica has from now on.
        role: ReplicaRole,
        /// Term in which the replica took this role.
        term: Term,
    },
    /// Send a message. The network may lose, duplicate or delay it.
    Send {
        /// Message with its term and the incarnation that it is meant for.
        message: ReplicaMessage,
        /// VM of the receiving replica.
        to: VmId,
    },
    /// Take a snapshot of the state machine and return it as [`ReplicaInput::SnapshotTaken`].
    TakeSnapshot {
        /// Index of the last entry that the state must contain.
        index: LogIndex,
    },
}
