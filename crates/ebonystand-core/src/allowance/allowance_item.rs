use super::*;

/// One protocol step for one workspace's allowance.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AllowanceItem {
    /// Protocol step to take.
    pub action: AllowanceAction,
    /// Workspace whose allowance the step concerns.
    pub workspace: WorkspaceId,
}
