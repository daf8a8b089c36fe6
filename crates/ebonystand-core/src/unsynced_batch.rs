use super::*;

/// Batch of records that was passed to the storage and isn't known to be synced.
#[derive(Clone, Debug)]
pub(crate) struct UnsyncedBatch {
    /// Messages that promise the batch's records and wait for the sync.
    pub(crate) deferred: Vec<DeferredMessage>,
    /// Index of the last log entry at the end of the batch.
    pub(crate) last_index: LogIndex,
    pub(crate) token: PersistToken,
}
