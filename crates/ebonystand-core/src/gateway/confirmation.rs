use super::*;

/// For how long a VM may take its copy of the configuration for the newest.
///
/// A key that was taken away must stop working everywhere within a bound, also on a VM that hears
/// nothing any more. So each VM asks the leader of the log for its version again and again; an
/// answer shows that what the VM has was the newest when it asked. A VM without such an answer for
/// longer than the bound serves no key.
///
/// The clock must go on while the process or its VM stands still: a VM that thaws compares its
/// last confirmation with the time before it serves.
#[derive(Clone, Debug)]
pub struct Confirmation {
    /// When the question was sent whose answer confirmed the copy last.
    confirmed: Option<Duration>,
    valid_for: Duration,
}

impl Confirmation {
    /// Nothing is confirmed yet; a confirmation counts for `valid_for`.
    #[must_use]
    pub fn new(valid_for: Duration) -> Self {
        Self {
            confirmed: None,
            valid_for,
        }
    }

    /// Time since the question whose answer confirmed the copy last.
    #[must_use]
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.confirmed
            .map(|confirmed| now.saturating_sub(confirmed))
    }

    /// Takes the leader's answer to a question that was sent at `asked`. It confirms nothing while
    /// the leader has more than the own version.
    pub fn answered(&mut self, asked: Duration, leader: Version, own: Version) {
        if own >= leader {
            self.confirmed = self.confirmed.max(Some(asked));
        }
    }

    /// Whether the copy may be served from.
    #[must_use]
    pub fn is_valid(&self, now: Duration) -> bool {
        self.age(now).is_some_and(|age| age < self.valid_for)
    }
}
