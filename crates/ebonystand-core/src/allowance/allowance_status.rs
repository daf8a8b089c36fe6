use super::*;

/// Allowance of one workspace on one VM, for operators.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AllowanceStatus {
    /// Part held by this VM, without what it has lent.
    pub held: AllowancePart,
    /// Micro-tokens that can be spent now.
    pub level: MicroTokens,
    /// Part lent to other VMs.
    pub lent: AllowancePart,
    /// Requests that wait.
    pub waiting: usize,
    /// Whose allowance.
    pub workspace: WorkspaceId,
}
