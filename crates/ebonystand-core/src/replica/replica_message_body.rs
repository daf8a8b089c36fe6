use super::*;

/// Request, reply or data that a [`ReplicaMessage`] carries.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ReplicaMessageBody {
    /// Entries from a leader; without entries, a heartbeat.
    Append {
        /// Commit index of the leader.
        commit: LogIndex,
        /// Log entries to append after `previous`.
        entries: Vec<LogEntry>,
        /// Position of the entry before `entries`.
        previous: LogPosition,
        /// Leader's monotonic clock when it sent the message. The reply returns it.
        sent: Duration,
    },
    /// Reply to `Append`, or to a snapshot chunk that ends the transfer.
    AppendReply {
        /// Whether the logs agree.
        outcome: AppendOutcome,
        /// Leader's clock when it sent the message that this is a reply to, copied from that
        /// message.
        sent: Duration,
    },
    /// Reply to `Join` of a replica whose own log is empty.
    Blank,
    /// Request of a replica with an empty log to be admitted to the group.
    Join,
    /// Reply to `Join` of a replica that is not the leader.
    Redirect {
        /// VM of the leader.
        leader: VmId,
    },
    /// Part of a snapshot.
    SnapshotChunk {
        /// Bytes of the state from `offset` on.
        chunk: Bytes,
        /// Whether this is the last chunk of the state.
        last: bool,
        /// Membership at `position`.
        members: Membership,
        /// Offset of the chunk in the state, in bytes.
        offset: u64,
        /// Position of the last entry that the state contains.
        position: LogPosition,
        /// Leader's monotonic clock when it sent the message. The reply returns it.
        sent: Duration,
    },
    /// Reply to a snapshot chunk after which further chunks are missing.
    SnapshotReply {
        /// Position of the snapshot that is being received.
        position: LogPosition,
        /// Number of bytes of the snapshot received so far.
        received: u64,
        /// Leader's clock when it sent the chunk that this is a reply to, copied from that message.
        sent: Duration,
    },
    /// Request of a candidate for a vote.
    Vote {
        /// Position of the last entry in the candidate's log.
        last: LogPosition,
        /// Whether this is a pre-vote: the voter promises nothing, and the message's term is the
        /// one that the election would start.
        pre: bool,
    },
    /// Reply to `Vote`.
    VoteReply {
        /// Whether the voter grants its vote.
        granted: bool,
        /// Whether this is the reply to a pre-vote.
        pre: bool,
    },
}
