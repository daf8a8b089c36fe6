use super::*;

/// Status of one member of a replicated group.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GroupMemberStatus {
    /// Index up to which the member's log is known to be durable; only the leader knows it.
    pub durable: Option<u64>,
    /// Random number drawn when the member's data folder was created.
    pub incarnation: Incarnation,
    /// VM of the member.
    pub vm: VmId,
    /// Whether the member counts towards majorities; a learner only receives the log.
    pub voter: bool,
}
