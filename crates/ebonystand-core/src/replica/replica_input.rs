use super::*;

/// Event that a driver passes to a [`Replica`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReplicaInput {
    /// Request to change a member. [`ReplicaOutput::ProposalDone`] reports the result.
    ChangeMembers {
        /// Member to admit, promote or remove.
        change: MemberChange,
        /// Number that the proposer assigned to the request. The report of the result carries it.
        id: ProposalId,
    },
    /// Message received from another replica.
    Message {
        /// Replica that sent the message.
        from: MemberId,
        /// Message with its term and the incarnation that it is meant for.
        message: ReplicaMessage,
    },
    /// Report that all batches of records up to `token` are synced to disk.
    Persisted {
        /// Token of the newest synced batch.
        token: PersistToken,
    },
    /// Request to append a command. [`ReplicaOutput::ProposalDone`] reports the result.
    Propose {
        /// Command for the state machine.
        command: Bytes,
        /// Number that the proposer assigned to the request. The report of the result carries it.
        id: ProposalId,
    },
    /// Request for a linearizable read: the read must see every command acknowledged so far.
    /// [`ReplicaOutput::ReadBarrierDone`] reports the result.
    ReadBarrier {
        /// Number that the reader assigned to the request. The report of the result carries it.
        id: ProposalId,
    },
    /// Snapshot of the state machine, in response to [`ReplicaOutput::TakeSnapshot`].
    SnapshotTaken {
        /// Index of the last entry that the state contains.
        index: LogIndex,
        /// Encoded state of the state machine.
        state: Bytes,
    },
    /// Timer event, due at [`Replica::deadline`]; an early one has no effect.
    Tick,
}
