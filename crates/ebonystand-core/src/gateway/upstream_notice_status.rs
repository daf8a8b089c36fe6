use super::*;

/// What an upstream has said of itself in answers to one VM.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UpstreamNoticeStatus {
    /// Whether it leaves.
    pub is_leaving: bool,
    /// Time for which it still wants no request from the VM, in milliseconds.
    pub pause_ms: u64,
    /// Instance of the upstream.
    pub upstream: UpstreamId,
}
