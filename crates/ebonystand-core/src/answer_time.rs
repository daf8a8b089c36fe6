use super::*;

/// Longest time that the answer to a request may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AnswerTime {
    /// Time by which the whole answer is due or refused.
    due: Duration,
    /// Time from now within which almost all such answers end; `None` if only the bound counts.
    expected: Option<Duration>,
}

impl AnswerTime {
    /// Creates the time of an answer to a call of this kind that is due at `due`, and of which almost all end within
    /// `expected`. A wrong expectation would cut off a call that must not run twice, so that only its bound counts.
    #[must_use]
    pub fn new(kind: CallKind, due: Duration, expected: Option<Duration>) -> Self {
        let expected = expected.filter(|_| kind != CallKind::Once);
        Self { due, expected }
    }

    /// Returns the time by which the answer has come or is refused.
    #[must_use]
    pub fn latest(&self, now: Duration) -> Duration {
        let expected = self.expected.map(|time| now.saturating_add(time));
        expected.map_or(self.due, |expected| expected.min(self.due))
    }
}
