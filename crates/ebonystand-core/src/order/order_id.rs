use super::*;

/// ID of an order: its key within its workspace.
#[derive(Clone, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[display("{workspace}:{key}")]
pub struct OrderId {
    /// Key chosen by the caller; see [`OrderKeyParts`] for its format.
    pub key: OrderKey,
    /// Workspace that the order belongs to.
    pub workspace: WorkspaceId,
}
