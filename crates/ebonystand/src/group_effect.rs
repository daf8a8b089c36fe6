use super::*;

/// What a [`Group`] wants done, in this order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum GroupEffect {
    /// An entry is to be applied.
    Commit {
        /// The entry.
        entry: LogEntry,
    },
    /// The state machine starts anew from this state.
    InstallSnapshot {
        /// The snapshot; its state is empty when the group has just been founded.
        snapshot: LogSnapshot,
    },
    /// What became of a proposal or a change of members.
    Proposed {
        /// Proposer's number.
        id: ProposalId,
        /// Index of its entry, whose `Commit` came before.
        result: Result<LogIndex, ProposalError>,
    },
    /// What became of a read barrier.
    Readable {
        /// Reader's number.
        id: ProposalId,
        /// Index that the state must have reached.
        result: Result<LogIndex, ProposalError>,
    },
    /// A message is to be sent to the replica of the same group on a VM.
    Send {
        /// The message.
        message: ReplicaMessage,
        /// The VM.
        to: VmId,
    },
    /// The state after this index is to be handed in by `SnapshotTaken`.
    TakeSnapshot {
        /// Last applied entry.
        index: LogIndex,
    },
}
