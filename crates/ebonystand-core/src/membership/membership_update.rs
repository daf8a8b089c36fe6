use super::*;

/// Change in what is known about one VM, spread by gossip.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum MembershipUpdate {
    /// The VM answers, or has published a new record.
    Alive(VmRecord),
    /// The VM is declared dead; only a record newer than this one revives it.
    Dead(VmRecordId),
    /// The VM did not answer a probe; it can refute the suspicion by publishing a newer record.
    Suspect(VmRecordId),
}

impl MembershipUpdate {
    /// Returns the name of the VM that the update is about.
    #[must_use]
    pub fn vm(&self) -> &VmId {
        match self {
            Self::Alive(record) => &record.vm,
            Self::Dead(id) | Self::Suspect(id) => &id.vm,
        }
    }

    /// Returns an upper bound of the encoded length in bytes.
    pub(crate) fn max_encoded_len(&self) -> usize {
        const VARIANT: usize = 1;
        VARIANT
            + match self {
                Self::Alive(record) => record.max_encoded_len(),
                Self::Dead(id) | Self::Suspect(id) => id.max_encoded_len(),
            }
    }
}
