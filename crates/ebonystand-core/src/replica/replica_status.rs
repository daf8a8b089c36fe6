use super::*;

/// State of a [`Replica`] at one time, for status pages and metrics.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReplicaStatus {
    /// Index of the last committed entry.
    pub commit_index: LogIndex,
    /// Identity of the replica.
    pub id: MemberId,
    /// Position of the last entry in the log.
    pub last_position: LogPosition,
    /// Leader of the term, if it is known.
    pub leader: Option<MemberId>,
    /// Time on the replica's monotonic clock until which it may act as the leader; `None` if it may
    /// not. Must be compared with the clock at each use.
    pub lease_until: Option<Duration>,
    /// Membership set by the newest entry of the log.
    pub members: Membership,
    /// Role of the replica in its term.
    pub role: ReplicaRole,
    /// Index of the last entry that the snapshot contains; 0 without a snapshot.
    pub snapshot_index: LogIndex,
    /// Term that the replica is in. It never decreases.
    pub term: Term,
}
