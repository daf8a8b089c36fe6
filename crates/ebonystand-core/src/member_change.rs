use super::*;

/// Change of one member of a replicated group.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum MemberChange {
    /// Adds a replica as a learner, which receives the log but counts in no majority, and removes
    /// any other learner on the same VM. The leader promotes the learner once it has caught up.
    Admit(MemberId),
    /// Turns a learner that has caught up into a voter.
    Promote(MemberId),
    /// Removes a replica from the group.
    Remove(MemberId),
}
