use super::*;

/// Slot that a scheduler has granted and that is not known to be free again.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SlotGrant {
    pub(crate) engine: UpstreamKey,
    pub(crate) granted_at: Duration,
    /// Whether the answer has begun, so that the prompt is read.
    pub(crate) has_begun: bool,
    /// Time for which the request was expected to hold its slot.
    pub(crate) hold: Duration,
    /// Time within which the answer should begin.
    pub(crate) start_target: Duration,
    pub(crate) unread: Tokens,
}
