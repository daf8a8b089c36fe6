use super::*;

/// A request that waits in a [`FairQueue`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QueueEntry {
    /// Time by which the request must have left the queue.
    pub deadline: Deadline,
    /// Id that the daemon gave the request.
    pub id: u64,
    /// Work of the request in generated tokens.
    pub work: Tokens,
    /// Workspace that sent the request.
    pub workspace: WorkspaceId,
}
