use super::*;

/// Read lease on the configuration: how long a VM may treat its copy as the newest.
///
/// A revoked key must stop working everywhere within a bound, also on a VM that receives no
/// messages. Each VM therefore keeps asking the leader of the log for its version; an answer proves
/// that the VM's copy was the newest when the question was sent. A VM without such an answer for
/// longer than the bound accepts no keys.
///
/// The clock must advance while the process or its VM is suspended: a VM that resumes compares its
/// last confirmation with the current time before it serves.
#[derive(Clone, Debug)]
pub struct Confirmation {
    /// When the last question was sent whose answer confirmed the copy.
    confirmed: Option<Duration>,
    valid_for: Duration,
}

impl Confirmation {
    /// Creates an unconfirmed state; each confirmation is valid for `valid_for`.
    #[must_use]
    pub fn new(valid_for: Duration) -> Self {
        Self {
            confirmed: None,
            valid_for,
        }
    }

    /// Returns the time since the last question was sent whose answer confirmed the copy; `None` if
    /// there was none.
    #[must_use]
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.confirmed
            .map(|confirmed| now.saturating_sub(confirmed))
    }

    /// Records the leader's answer to a question sent at `asked`. The answer confirms the copy only
    /// if the leader's version is not newer than the own one.
    pub fn record_answer(&mut self, asked: Duration, leader: Version, own: Version) {
        if own >= leader {
            self.confirmed = self.confirmed.max(Some(asked));
        }
    }

    /// Returns whether requests may be served from the copy.
    #[must_use]
    pub fn is_valid(&self, now: Duration) -> bool {
        self.age(now).is_some_and(|age| age < self.valid_for)
    }
}
