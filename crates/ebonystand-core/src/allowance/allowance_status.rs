use super::*;

/// Snapshot of one workspace's allowance on one VM.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AllowanceStatus {
    /// Rate and capacity of this VM's bucket, including what is borrowed and without what is lent.
    pub held: AllowancePart,
    /// Micro-tokens that can be spent now.
    pub level: MicroTokens,
    /// Part lent to other VMs.
    pub lent: AllowancePart,
    /// Number of requests that wait for tokens.
    pub waiting: usize,
    /// Workspace whose allowance is shown.
    pub workspace: WorkspaceId,
}
