use super::*;

/// What is known of the time that the answer to a request takes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AnswerTime {
    /// Time by which the whole answer is due or refused.
    due: Duration,
    /// Time from now within which almost all such answers end; `None` if only the bound counts.
    expected: Option<Duration>,
    kind: CallKind,
}

impl AnswerTime {
    /// Creates the time of an answer to a call of this kind that is due at `due`, and of which almost all end within
    /// `expected`. A wrong expectation would cut off a call that must not run twice, so that only its bound counts.
    #[must_use]
    pub fn new(kind: CallKind, due: Duration, expected: Option<Duration>) -> Self {
        let expected = expected.filter(|_| kind != CallKind::Once);
        Self {
            due,
            expected,
            kind,
        }
    }

    /// Returns the time by which almost all such answers have come or are refused.
    #[must_use]
    pub fn likely_end(&self, now: Duration) -> Duration {
        let expected = self.expected.map(|time| now.saturating_add(time));
        expected.map_or(self.due, |expected| expected.min(self.due))
    }

    /// Returns the time after which the answer can't be cut off any more: a stream has ended by its bound, and other
    /// answers that take longer than expected are replaced by a refusal.
    #[must_use]
    pub fn certain_end(&self, now: Duration) -> Duration {
        match self.kind {
            CallKind::Stream => self.due,
            CallKind::Idempotent | CallKind::Once => self.likely_end(now),
        }
    }
}
