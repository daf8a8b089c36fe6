use super::*;

/// Error of a proposal, a change of members or a read barrier.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum ProposalError {
    /// Another change of members is uncommitted, or this one changes nothing or promotes a learner
    /// that hasn't caught up.
    #[snafu(display("the members cannot be changed so now; look at them and try again"))]
    ChangeRefused,
    /// The replica lost its leadership before the entry was committed: the entry may be committed
    /// later or never.
    #[snafu(display("leadership was lost; the change may still come into force"))]
    LeadershipLost,
    /// This replica is not the leader; it has appended nothing.
    #[snafu(display("not the leader"))]
    NotLeader {
        /// Current leader, if it is known.
        leader: Option<MemberId>,
    },
}
