use super::*;

/// Engine of a region whose slots are scheduled.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct SlotEngine {
    /// Short name of the engine.
    pub key: UpstreamKey,
    /// Service of the engine.
    pub service: ServiceId,
    /// Number of slots.
    pub slots: u32,
}
