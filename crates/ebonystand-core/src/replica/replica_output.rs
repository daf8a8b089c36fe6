use super::*;

/// Action that a driver must carry out for a [`Replica`], in the order returned.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReplicaOutput {
    /// Apply a committed entry. Entries come in order, each index once after each start.
    Commit {
        /// Committed entry.
        entry: LogEntry,
    },
    /// Replace the state of the state machine by a snapshot. Later commits follow the snapshot.
    InstallSnapshot {
        /// Snapshot to install.
        snapshot: LogSnapshot,
    },
    /// Append the records to the storage, sync them and report [`ReplicaInput::Persisted`].
    Persist {
        /// Records in the order in which they must be written.
        records: Vec<LogRecord>,
        /// Number of this batch.
        token: PersistToken,
    },
    /// Report the result of a proposal. The `Commit` of a committed entry precedes it.
    ProposalDone {
        /// Proposer's number for the request.
        id: ProposalId,
        /// Index of the committed entry.
        result: Result<LogIndex, ProposalError>,
    },
    /// Report the result of a read barrier.
    ReadBarrierDone {
        /// Reader's number for the request.
        id: ProposalId,
        /// Committed index up to which the reader must have applied entries. That state contains
        /// every command acknowledged before the barrier was requested.
        result: Result<LogIndex, ProposalError>,
    },
    /// Log that the replica's role has changed.
    RoleChanged {
        /// New role.
        role: ReplicaRole,
        /// Term of the new role.
        term: Term,
    },
    /// Send a message. The network may lose, duplicate or delay it.
    Send {
        /// Message to send.
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
