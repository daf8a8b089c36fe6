use super::*;

/// What one replica says to another.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ReplicaMessageBody {
    /// A leader's entries; without any, a heartbeat.
    Append {
        /// Leader's commit index.
        commit: LogIndex,
        /// Entries that follow `previous`.
        entries: Vec<LogEntry>,
        /// Entry before them.
        previous: LogPosition,
        /// Leader's clock at sending; comes back in the answer.
        sent: Duration,
    },
    /// Answer to entries or to the last chunk of a snapshot.
    AppendReply {
        /// What became of them.
        outcome: AppendOutcome,
        /// `sent` of the message that is answered.
        sent: Duration,
    },
    /// Answer to `Join`: the sender's log is empty too.
    Blank,
    /// The sender's log is empty and it wants to be taken in.
    Join,
    /// Answer to `Join` by a replica that does not lead.
    Redirect {
        /// VM that leads.
        leader: VmId,
    },
    /// Part of a snapshot.
    SnapshotChunk {
        /// Bytes of the state from `offset` on.
        chunk: Bytes,
        /// Whether the state ends with this chunk.
        last: bool,
        /// Members at `position`.
        members: Membership,
        /// Bytes of the state before this chunk.
        offset: u64,
        /// Last entry that the state contains.
        position: LogPosition,
        /// Leader's clock at sending; comes back in the answer.
        sent: Duration,
    },
    /// Answer to a chunk that is not the last.
    SnapshotReply {
        /// Position of the snapshot that is being received.
        position: LogPosition,
        /// Bytes of it that are here.
        received: u64,
        /// `sent` of the message that is answered.
        sent: Duration,
    },
    /// A candidate asks for a vote.
    Vote {
        /// End of the candidate's log.
        last: LogPosition,
        /// Only a question: nothing is promised, and the term is the one it would start.
        pre: bool,
    },
    /// Answer to `Vote`.
    VoteReply {
        /// Whether the candidate has the vote.
        granted: bool,
        /// Answer to a question only.
        pre: bool,
    },
}
