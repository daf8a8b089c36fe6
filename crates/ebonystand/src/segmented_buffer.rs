use super::*;

/// Bytes in segments of a bounded size. A single buffer that grows by copies leaves gaps in the heap, which later and
/// larger copies can't use.
#[derive(Default)]
pub(crate) struct SegmentedBuffer {
    segments: Vec<BytesMut>,
}

impl SegmentedBuffer {
    /// Size of a segment, in bytes. The first one grows up to it, so that small contents take little memory.
    const SEGMENT_BYTES: usize = 64 << 10;

    /// Number of bytes that are allocated.
    pub(crate) fn capacity(&self) -> usize {
        self.segments.iter().map(BytesMut::capacity).sum()
    }

    pub(crate) fn extend_from_slice(&mut self, mut bytes: &[u8]) {
        if self.segments.is_empty() {
            self.segments.push(BytesMut::new());
        }
        while let Some(last) = self.segments.last_mut() {
            let len = bytes.len().min(Self::SEGMENT_BYTES - last.len());
            let (now, later) = bytes.split_at(len);
            last.extend_from_slice(now);
            if later.is_empty() {
                break;
            }
            bytes = later;
            let next = BytesMut::with_capacity(Self::SEGMENT_BYTES);
            self.segments.push(next);
        }
    }

    /// Returns the contents in one piece.
    pub(crate) fn into_bytes(mut self) -> Bytes {
        if self.segments.len() < 2 {
            return self.segments.pop().unwrap_or_default().freeze();
        }
        let mut whole = BytesMut::with_capacity(self.len());
        for segment in &self.segments {
            whole.extend_from_slice(segment);
        }
        whole.freeze()
    }

    pub(crate) fn len(&self) -> usize {
        self.segments.iter().map(BytesMut::len).sum()
    }
}
