use super::*;

/// Event that a driver passes to a [`Replica`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReplicaInput {
    /// Request to change a member. [`ReplicaOutput::ProposalDone`] reports the result.
    ChangeMembers {
        /// Requested change.
        change: MemberChange,
        /// Proposer's number for the request.
        id: ProposalId,
    },
    /// Message received from another replica.
    Message {
        /// Replica that sent the message.
        from: MemberId,
        /// Received message.
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
        /// Proposer's number for the request.
        id: ProposalId,
    },
    /// Request for a linearizable read: the read must see every command acknowledged so far.
    /// [`ReplicaOutput::ReadBarrierDone`] reports the result.
    ReadBarrier {
        /// Reader's number for the request.
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
