use super::*;

/// News of one VM.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum MembershipUpdate {
    /// It answers, or has written a new record.
    Alive(VmRecord),
    /// It is taken for dead; only a newer record brings it back.
    Dead(VmMark),
    /// It did not answer; it objects with a newer record if it can.
    Suspect(VmMark),
}

impl MembershipUpdate {
    /// The VM concerned.
    #[must_use]
    pub fn vm(&self) -> &VmId {
        match self {
            Self::Alive(record) => &record.vm,
            Self::Dead(mark) | Self::Suspect(mark) => &mark.vm,
        }
    }

    /// Encoded length in bytes, at most.
    pub(crate) fn weight(&self) -> usize {
        const VARIANT: usize = 1;
        VARIANT
            + match self {
                Self::Alive(record) => record.weight(),
                Self::Dead(mark) | Self::Suspect(mark) => mark.weight(),
            }
    }
}
