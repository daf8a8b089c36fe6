use super::*;

/// Final answer to a request that is not served.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[display("{code}: {message}")]
pub struct Refusal {
    /// Stable code.
    pub code: RefusalCode,
    /// Sentence for a person.
    pub message: Box<str>,
    /// When coming back makes sense, if it does.
    pub retry_after: Option<Duration>,
    /// Whether the request ran.
    pub run: RunState,
}

impl std::error::Error for Refusal {}

impl Refusal {
    /// Refusal of a request that has not run.
    #[must_use]
    pub fn not_run(code: RefusalCode, message: impl Into<Box<str>>) -> Self {
        Self {
            code,
            message: message.into(),
            retry_after: None,
            run: RunState::NotRun,
        }
    }

    /// Refusal of a request that may have run.
    #[must_use]
    pub fn possibly_run(code: RefusalCode, message: impl Into<Box<str>>) -> Self {
        Self {
            code,
            message: message.into(),
            retry_after: None,
            run: RunState::Unknown,
        }
    }

    /// The same refusal with a time to come back after.
    #[must_use]
    pub fn with_retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }
}
