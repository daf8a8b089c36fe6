use super::*;

/// How long work takes at an upstream, as one VM knows it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HeardWorkTime {
    /// Time of the answer that told it.
    pub(crate) at: Duration,
    pub(crate) time: WorkTime,
    pub(crate) upstream: UpstreamKey,
}

impl HeardWorkTime {
    /// Builds the message about it.
    pub(crate) fn into_news(self, now: Duration) -> WorkTimeNews {
        let age_ms = now.saturating_sub(self.at).as_millis();
        WorkTimeNews {
            age_ms: u32::try_from(age_ms).unwrap_or(u32::MAX),
            time: self.time,
            upstream: self.upstream,
        }
    }
}
