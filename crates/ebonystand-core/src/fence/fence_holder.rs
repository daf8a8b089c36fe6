use super::*;

/// Process that may hold a role.
#[derive(Clone, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[display("{vm}/{incarnation}")]
pub struct FenceHolder {
    /// Number of the process, drawn at each of its starts.
    pub incarnation: Incarnation,
    /// VM that it runs on.
    pub vm: VmId,
}
