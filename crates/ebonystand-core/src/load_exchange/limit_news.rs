use super::*;

/// What an answer of an upstream said of its limit, as VMs of the region tell one another.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LimitNews {
    /// Age of the answer, in milliseconds.
    pub age_ms: u64,
    /// Limit that the answer named; `None` if it named none.
    pub limit: Option<UpstreamLimit>,
    /// Upstream that answered.
    pub upstream: UpstreamKey,
}

impl LimitNews {
    /// Most bytes that one piece of news is encoded in.
    pub(crate) const MAX_BYTES: usize = 32;
    /// Most pieces of news in one message; the rest is dropped, and told again while the limit is
    /// in force.
    pub(crate) const MAX_IN_MESSAGE: usize = 64;
}
