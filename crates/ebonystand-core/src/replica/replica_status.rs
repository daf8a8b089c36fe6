use super::*;

/// View of a [`Replica`], for status pages and metrics.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReplicaStatus {
    /// Last committed entry.
    pub commit: LogIndex,
    /// The replica.
    pub id: MemberId,
    /// End of the log.
    pub last: LogPosition,
    /// Leader of the term, if it is known.
    pub leader: Option<MemberId>,
    /// Until when this replica may act as the leader, on its own clock; compare it at each use.
    pub lease_until: Option<Duration>,
    /// Members as of the log's end.
    pub members: Membership,
    /// Role.
    pub role: ReplicaRole,
    /// Last entry in the snapshot.
    pub snapshot: LogIndex,
    /// Term.
    pub term: Term,
}
