use super::*;

/// Snapshot that a leader is sending to one replica. The transfer continues with the same snapshot
/// even when a newer one is taken: otherwise a slow link would start over for ever.
#[derive(Clone, Debug)]
pub(crate) struct SnapshotTransfer {
    /// Number of bytes that the replica has confirmed.
    pub(crate) offset: u64,
    /// When the chunk at `offset` was last sent.
    pub(crate) sent_at: Option<Duration>,
    pub(crate) snapshot: LogSnapshot,
}

impl SnapshotTransfer {
    /// Size of the state in one message, in bytes; small enough not to delay heartbeats on a slow
    /// link.
    const CHUNK_BYTES: usize = 64 * 1024;

    /// Builds the message with the chunk at `offset`.
    pub(crate) fn build_chunk(&self, now: Duration) -> ReplicaMessageBody {
        let state = &self.snapshot.state;
        let start = usize::try_from(self.offset).map_or(state.len(), |at| at.min(state.len()));
        let end = state.len().min(start + Self::CHUNK_BYTES);
        ReplicaMessageBody::SnapshotChunk {
            chunk: state.slice(start..end),
            last: end == state.len(),
            members: self.snapshot.members.clone(),
            offset: self.offset,
            position: self.snapshot.position,
            sent: now,
        }
    }
}
