use super::*;

/// Engine that a VM would send a request to.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SlotOffer {
    /// Short name of the engine.
    pub engine: UpstreamKey,
    /// Prompt tokens that the engine would have to read.
    pub unread: Tokens,
}
