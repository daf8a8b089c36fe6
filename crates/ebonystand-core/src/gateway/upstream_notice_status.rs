use super::*;

/// What an upstream has said of itself in answers to one VM.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UpstreamNoticeStatus {
    /// Whether it leaves.
    pub is_leaving: bool,
    /// Time for which it still wants no request from the VM, in milliseconds.
    pub pause_ms: u64,
    /// Requests that it may turn away in a second, over all VMs, before it goes down, if it says so.
    #[serde(default)]
    pub shed_tolerance: Option<u32>,
    /// Instance of the upstream.
    pub upstream: UpstreamId,
}
