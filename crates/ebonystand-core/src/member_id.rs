use super::*;

/// Identity of a replica: its VM and the incarnation of its data folder.
///
/// A VM that lost its disk has forgotten its vote and its entries. Under its old identity it could
/// vote twice in a term, or help to elect a leader that lacks an acknowledged entry. Under a new
/// incarnation it doesn't count until the log admits it.
#[derive(Clone, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[display("{vm}#{incarnation:x}")]
pub struct MemberId {
    /// Random number drawn when the data folder was created.
    pub incarnation: Incarnation,
    /// VM that the replica runs on.
    pub vm: VmId,
}
