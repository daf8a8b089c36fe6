use super::*;

/// One matter of one workspace.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AllowanceItem {
    /// What.
    pub action: AllowanceAction,
    /// Whose allowance.
    pub workspace: WorkspaceId,
}
