use super::*;

/// Final answer to a request that is not served.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[display("{code}: {message}")]
pub struct Refusal {
    /// Machine-readable code, which stays stable across releases.
    pub code: RefusalCode,
    /// Explanation for a person, in one sentence.
    pub message: Box<str>,
    /// Time to wait before a retry; none if a retry does not help.
    pub retry_after: Option<Duration>,
    /// Whether the request ran.
    pub run: RunState,
}

impl std::error::Error for Refusal {}

impl Refusal {
    /// Creates the refusal of a request that has not run.
    #[must_use]
    pub fn not_run(code: RefusalCode, message: impl Into<Box<str>>) -> Self {
        Self {
            code,
            message: message.into(),
            retry_after: None,
            run: RunState::NotRun,
        }
    }

    /// Creates the refusal of a request that may have run.
    #[must_use]
    pub fn possibly_run(code: RefusalCode, message: impl Into<Box<str>>) -> Self {
        Self {
            code,
            message: message.into(),
            retry_after: None,
            run: RunState::Unknown,
        }
    }

    /// Returns the refusal with `delay` as its time to retry after.
    #[must_use]
    pub fn with_retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }
}
