use super::*;

/// Snapshot that is being received in chunks.
#[derive(Clone, Debug)]
pub(crate) struct SnapshotAssembly {
    pub(crate) buf: Vec<u8>,
    pub(crate) position: LogPosition,
    /// Term of the sending leader. Two leaders may encode the state at one position differently, so
    /// their chunks must not be mixed.
    pub(crate) term: Term,
}

impl SnapshotAssembly {
    /// Appends a chunk if it is the next one. Returns the number of bytes received so far.
    pub(crate) fn push(&mut self, offset: u64, chunk: &Bytes) -> u64 {
        if offset == self.received() {
            self.buf.extend_from_slice(chunk);
        }
        self.received()
    }

    fn received(&self) -> u64 {
        self.buf.len() as u64
    }
}
