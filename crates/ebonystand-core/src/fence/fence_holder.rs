use super::*;

/// One start of a process that can hold a role.
#[derive(Clone, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[display("{vm}/{incarnation}")]
pub struct FenceHolder {
    /// Random number that the process draws at each start.
    pub incarnation: Incarnation,
    /// VM that the process runs on.
    pub vm: VmId,
}
