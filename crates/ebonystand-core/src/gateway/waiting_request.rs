use super::*;

/// Request that waits for a slot of an upstream, as [`SlotOrder`] sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WaitingRequest {
    /// Latest time at which the request can begin to meet its first-byte target.
    pub due: Duration,
    /// Number of the request, which grows with each arrival.
    pub number: u64,
    /// Rank of the request; 0 is the first.
    pub rank: u8,
    /// Time for which the request is expected to occupy a slot.
    pub slot_time: Duration,
    /// Workspace that the request runs for; `None` on a public route.
    pub workspace: Option<WorkspaceId>,
}
