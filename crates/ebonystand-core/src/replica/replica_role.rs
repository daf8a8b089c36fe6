use super::*;

/// Role of a replica in its term.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum ReplicaRole {
    /// Requests votes in an election.
    #[display("candidate")]
    Candidate,
    /// Accepts entries from the leader, or knows of no leader yet.
    #[display("follower")]
    Follower,
    /// Appends entries to the log, replicates and commits them.
    #[display("leader")]
    Leader,
    /// Asks the voters in a pre-vote whether they would elect it.
    #[display("pre-candidate")]
    PreCandidate,
}
