use derive_more::Display;

/// By what a retry is granted.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
#[display(rename_all = "snake_case")]
pub enum RetryGrant {
    /// By the retry budget.
    Budget,
    /// No byte of the request has reached an upstream, so the next attempt is no retry for upstreams.
    Free,
    /// Not granted.
    Refused,
}

impl RetryGrant {
    /// Whether the request may be sent again.
    #[must_use]
    pub fn is_granted(self) -> bool {
        self != Self::Refused
    }
}
