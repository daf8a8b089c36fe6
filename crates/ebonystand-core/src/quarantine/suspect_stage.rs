use super::*;

/// What VMs must do about a request that crashed upstreams.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SuspectStage {
    /// Its crashes are counted; no other VM knows of it.
    Counted,
    /// It needs a permit for each run, or the ends of its runs are to be reported.
    Suspected,
    /// New runs are held back until it is known whether an upstream survives one in progress.
    Held,
    /// It is refused.
    Quarantined,
    /// An upstream survived it, or an operator cleared it: VMs that know of it are to forget it.
    Cleared,
}

impl SuspectStage {
    /// Returns whether the request is under suspicion on all VMs.
    #[must_use]
    pub fn is_suspect(self) -> bool {
        matches!(self, Self::Suspected | Self::Held | Self::Quarantined)
    }
}
