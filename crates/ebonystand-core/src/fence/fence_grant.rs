use super::*;

/// Current grant of a role to a holder.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FenceGrant {
    /// Fencing token of the holder.
    pub fence: Fence,
    /// Process that holds the role.
    pub holder: FenceHolder,
    /// Sequence number of the last renewal; 0 before the first one.
    pub renewal: u64,
}
