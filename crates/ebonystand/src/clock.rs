use super::*;

/// Source of time, passed in so that tests hold it.
pub(crate) trait Clock {
    /// Time since the process's clock started; never goes back.
    fn now(&self) -> Duration;
    /// Time since 1970; may jump, so nothing safe hangs on it.
    fn wall(&self) -> Duration;
}
