use super::*;

/// How long work takes at an upstream, as VMs of the region tell one another.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkTimeNews {
    /// Age of the answer that told it, in milliseconds.
    pub age_ms: u32,
    /// Time that work takes.
    pub time: WorkTime,
    /// Upstream that answered.
    pub upstream: UpstreamKey,
}
