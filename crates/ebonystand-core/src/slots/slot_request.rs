use super::*;

/// Request for a slot at one of several engines.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SlotRequest {
    /// Time within which the request must be sent to an engine, in milliseconds.
    pub begin_ms: u32,
    /// Engines in the order in which the VM prefers them.
    pub engines: Vec<SlotOffer>,
    /// Time for which the request is expected to hold its slot, in milliseconds.
    pub hold_ms: u32,
    /// Priority rank; 0 is served first.
    pub rank: u8,
    /// Target for the time from the sending of the request to the first byte, in milliseconds.
    pub start_ms: u32,
    /// Workspace whose share of the slots the request takes from.
    pub workspace: WorkspaceKey,
}

impl SlotRequest {
    /// Most engines that a request names; a scheduler has about four of twelve slots.
    pub const MAX_ENGINES: usize = 8;

    /// Returns the prompt tokens that an engine would have to read; `None` if the request does not name it.
    #[must_use]
    pub fn unread_at(&self, engine: UpstreamKey) -> Option<Tokens> {
        let mut engines = self.engines.iter();
        let offer = engines.find(|offer| offer.engine == engine)?;
        Some(offer.unread)
    }
}
