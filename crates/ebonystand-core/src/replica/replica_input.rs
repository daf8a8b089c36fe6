use super::*;

/// What happens to a [`Replica`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReplicaInput {
    /// A member is to be changed; answered by `Proposed`.
    ChangeMembers {
        /// The change.
        change: MemberChange,
        /// Proposer's number for it.
        id: ProposalId,
    },
    /// A message came in.
    Message {
        /// Its sender.
        from: MemberId,
        /// The message.
        message: ReplicaMessage,
    },
    /// All records up to this token are synced.
    Persisted {
        /// Token of the newest one.
        token: PersistToken,
    },
    /// A command is to be appended; answered by `Proposed`.
    Propose {
        /// The command.
        command: Bytes,
        /// Proposer's number for it.
        id: ProposalId,
    },
    /// A read wants to see everything acknowledged so far; answered by `Readable`.
    ReadBarrier {
        /// Reader's number for it.
        id: ProposalId,
    },
    /// Answer to `TakeSnapshot`.
    SnapshotTaken {
        /// Last entry that the state contains.
        index: LogIndex,
        /// The state.
        state: Bytes,
    },
    /// [`Replica::deadline`] has come, or may have.
    Tick,
}
