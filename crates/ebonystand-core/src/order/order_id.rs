use super::*;

/// Name of an order: its key within its workspace.
#[derive(Clone, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[display("{workspace}:{key}")]
pub struct OrderId {
    /// Key that the caller chose; see [`OrderKeyParts`] for its form.
    pub key: OrderKey,
    /// Workspace that the order is for.
    pub workspace: WorkspaceId,
}
