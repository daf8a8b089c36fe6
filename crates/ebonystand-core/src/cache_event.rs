use super::*;

/// Event from the prefix cache of an engine. Events arrive late, and some are lost.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheEvent {
    /// Kind of the change.
    pub change: CacheChange,
    /// Hash of the prefix that changed, as returned by [`Router::prefix_key`].
    pub prefix_key: u64,
    /// Sequence number, one more than that of the engine's previous event.
    pub sequence: u64,
}
