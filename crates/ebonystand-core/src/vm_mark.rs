use super::*;

/// Names one record of a VM without its content.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VmMark {
    /// [`VmRecord::heartbeat`].
    pub heartbeat: u64,
    /// [`VmRecord::incarnation`].
    pub incarnation: Incarnation,
    /// [`VmRecord::vm`].
    pub vm: VmId,
}

impl VmMark {
    pub(crate) fn age(&self) -> (Incarnation, u64) {
        (self.incarnation, self.heartbeat)
    }

    /// Encoded length in bytes, at most.
    pub(crate) fn weight(&self) -> usize {
        text_encoded_len(&self.vm)
            + varint_encoded_len(self.incarnation)
            + varint_encoded_len(self.heartbeat)
    }
}
