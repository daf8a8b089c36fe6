use super::*;

/// What a replica does in its term.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum ReplicaRole {
    /// Asks for votes.
    #[display("candidate")]
    Candidate,
    /// Follows a leader, or waits for one.
    #[display("follower")]
    Follower,
    /// Orders and commits entries.
    #[display("leader")]
    Leader,
    /// Asks whether it would get votes.
    #[display("pre-candidate")]
    PreCandidate,
}
