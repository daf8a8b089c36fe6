use super::*;

/// Status of a replicated group as seen by one of its members.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GroupStatus {
    /// Index up to which the member knows the log to be committed.
    pub committed: u64,
    /// Name of the group: `configuration`, or `orders.` followed by a region.
    pub group: Box<str>,
    /// VM of the leader, if it is known.
    pub leader: Option<VmId>,
    /// Status of each member of the group.
    pub members: Vec<GroupMemberStatus>,
    /// Current term.
    pub term: u64,
}
