use super::*;

/// What an answer of an upstream said of its limit, as one VM knows it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HeardLimit {
    /// Limit that the answer named; `None` if it named none.
    pub(crate) limit: Option<UpstreamLimit>,
    /// Time of the answer.
    pub(crate) named_at: Duration,
    /// Upstream that answered.
    pub(crate) upstream: UpstreamKey,
}

impl HeardLimit {
    /// Builds the message about it.
    pub(crate) fn into_news(self, now: Duration) -> LimitNews {
        LimitNews {
            age_ms: millis(now.saturating_sub(self.named_at)),
            limit: self.limit,
            upstream: self.upstream,
        }
    }
}
