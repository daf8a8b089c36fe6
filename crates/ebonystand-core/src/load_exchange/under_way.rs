use super::*;

/// Requests in flight at one upstream.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct UnderWay {
    /// Requests that have been sent and have not ended.
    pub requests: u32,
    /// Prompt tokens of the requests whose answers have not begun.
    pub unread: Tokens,
}

impl UnderWay {
    /// Adds the requests of another VM.
    pub(crate) fn add(&mut self, other: Self) {
        self.requests = self.requests.saturating_add(other.requests);
        self.unread = self.unread.saturating_add(other.unread);
    }

    /// Subtracts requests that were added before, never below 0.
    pub(crate) fn subtract(&mut self, other: Self) {
        self.requests = self.requests.saturating_sub(other.requests);
        self.unread = self.unread.saturating_sub(other.unread);
    }

    /// Returns whether no request is in flight.
    pub(crate) fn is_idle(self) -> bool {
        self == Self::default()
    }
}
