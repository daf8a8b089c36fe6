use super::*;

/// One VM's share of a workspace's allowance, as shown to operators.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkspaceAllowanceStatus {
    /// Number of tokens that the VM can admit without claiming from others.
    pub available: Tokens,
    /// Burst of the workspace over all VMs, in tokens.
    pub burst: Tokens,
    /// Rate of the workspace over all VMs, in tokens per second.
    pub rate: Tokens,
    /// Share of the rate that this VM holds, in tokens per second.
    pub rate_share: Tokens,
    /// Workspace that the allowance belongs to.
    pub workspace: WorkspaceId,
}
