use super::*;

/// What VMs must do about a part of prompts under which upstreams went down.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PartStage {
    /// Ends of upstreams are counted; no other VM knows of it.
    Counted,
    /// A run of a prompt with the part needs the owner's permission.
    Suspected,
    /// Prompts with the part are refused.
    Quarantined,
    /// An upstream has begun an answer on it, or an operator cleared it: VMs that know of it are to forget it.
    Cleared,
}

impl PartStage {
    /// Returns whether prompts with the part may not run freely.
    #[must_use]
    pub fn is_suspect(self) -> bool {
        matches!(self, Self::Suspected | Self::Quarantined)
    }
}
