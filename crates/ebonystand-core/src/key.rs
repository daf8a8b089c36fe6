use super::*;

/// API key of a workspace's callers, without its secret.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// SHA-256 of the key's secret.
    pub hash: KeyHash,
    /// Whether the key has been withdrawn; never reset once true.
    pub withdrawn: bool,
    /// Name of the workspace that requests with this key run for.
    pub workspace: WorkspaceId,
}
