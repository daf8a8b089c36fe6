use super::*;

/// Who holds a role.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FenceGrant {
    /// Number of the holder.
    pub fence: Fence,
    /// The holder.
    pub holder: FenceHolder,
    /// Number of the last renewal.
    pub renewal: u64,
}
