use super::*;

/// Identifier of one version of a [`VmRecord`], without its content.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VmRecordId {
    /// [`VmRecord::heartbeat`] of the identified record.
    pub heartbeat: u64,
    /// [`VmRecord::incarnation`] of the identified record.
    pub incarnation: Incarnation,
    /// [`VmRecord::vm`] of the identified record.
    pub vm: VmId,
}

impl VmRecordId {
    /// Returns the pair that orders the records of one VM; the highest is the newest.
    pub(crate) fn epoch(&self) -> (Incarnation, u64) {
        (self.incarnation, self.heartbeat)
    }

    /// Returns an upper bound of the encoded length in bytes.
    pub(crate) fn max_encoded_len(&self) -> usize {
        text_encoded_len(&self.vm)
            + varint_encoded_len(self.incarnation)
            + varint_encoded_len(self.heartbeat)
    }
}
