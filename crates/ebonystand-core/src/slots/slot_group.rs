use super::*;

/// Engines of one service that have a scheduler in common.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct SlotGroup {
    /// Number of the group among those of its service.
    pub number: u32,
    /// Service of the engines.
    pub service: ServiceId,
}
