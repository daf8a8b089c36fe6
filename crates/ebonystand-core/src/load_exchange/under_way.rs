use super::*;

/// What one VM has under way at one upstream.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct UnderWay {
    /// Requests that have been sent and have not ended.
    pub requests: u32,
    /// Prompt tokens of those whose answer has not begun.
    pub unread: Tokens,
}

impl UnderWay {
    pub(crate) fn add(&mut self, other: Self) {
        self.requests = self.requests.saturating_add(other.requests);
        self.unread = self.unread.saturating_add(other.unread);
    }

    pub(crate) fn take_out(&mut self, other: Self) {
        self.requests = self.requests.saturating_sub(other.requests);
        self.unread = self.unread.saturating_sub(other.unread);
    }

    pub(crate) fn is_none(self) -> bool {
        self == Self::default()
    }
}
