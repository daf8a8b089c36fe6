use super::*;

/// Limit that an upstream names, as one VM knows it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct UpstreamLimitStatus {
    /// Time since an answer last named the limit, in milliseconds.
    pub age_ms: u64,
    /// Requests per second that the upstream takes from all VMs together.
    pub per_s: f64,
    /// Requests per second that this VM may send; 0 if others do.
    pub share_per_s: f64,
    /// Instance of the upstream.
    pub upstream: UpstreamId,
}
