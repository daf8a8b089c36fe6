use super::*;

/// Whether a refused request has run on an upstream.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// The request has not run, and nothing that was sent can make it run later.
    #[display("not_run")]
    NotRun,
    /// The request ran to its end.
    #[display("ran")]
    Ran,
    /// The request may have run, completely or in part.
    #[display("unknown")]
    Unknown,
}

impl RunState {
    /// Returns whether a request in this state may be answered with an HTTP status. To callers of routes, 408, 421, 429
    /// and 503 promise that the request has not run and never will.
    #[must_use]
    pub fn allows(self, status: u16) -> bool {
        self == Self::NotRun || !matches!(status, 408 | 421 | 429 | 503)
    }
}
