use super::*;

/// Request that waits in a [`SlotQueue`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WaitingSlot {
    /// Time by which the request must be sent to an engine.
    pub begin_by: Duration,
    /// Number of the request for a slot.
    pub number: u32,
    /// Times that a later request got a slot that this one had no room to use.
    pub overtaken: u32,
    /// What is asked for.
    pub request: SlotRequest,
    /// VM that asks.
    pub vm: VmId,
}
