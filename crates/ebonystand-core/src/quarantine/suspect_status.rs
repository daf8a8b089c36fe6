use super::*;

/// Request that crashed upstreams, as one VM knows it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SuspectStatus {
    /// VM that announced the request last; `None` if only this VM knows of it.
    pub announced_by: Option<VmId>,
    /// Last upstreams that went down under the request; empty on a VM that does not count its
    /// crashes.
    pub crashed_upstreams: Vec<UpstreamId>,
    /// Crashes that this VM has counted; 0 if others count them.
    pub crashes: u32,
    /// Hash of workspace, path and body, in hexadecimal.
    pub fingerprint: Box<str>,
    /// Whether the request is refused.
    pub is_quarantined: bool,
    /// Time until the entry expires, in milliseconds.
    pub remaining_ms: u64,
}
