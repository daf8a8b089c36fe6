use super::*;

/// Part of prompts under which upstreams went down, as one VM knows it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PartStatus {
    /// VM that announced the part last; `None` if only this VM knows of it.
    pub announced_by: Option<VmId>,
    /// Last upstreams that went down under the part; empty on a VM that does not count them.
    pub crashed_upstreams: Vec<UpstreamId>,
    /// Identifier of the part, in hexadecimal.
    pub part: Box<str>,
    /// Time until the entry expires, in milliseconds.
    pub remaining_ms: u64,
    /// Fingerprints of the requests with the part that were lost with these upstreams, in hexadecimal.
    pub requests: Vec<Box<str>>,
    /// Service whose upstreams went down.
    pub service: ServiceId,
    /// What this VM does with prompts that have the part.
    pub stage: PartStage,
}
