use super::*;

/// Stamps of questions to other VMs, which the answers repeat.
///
/// A VM that restarts keeps its name, so an answer to its former process reaches the next one. The
/// clock of each process starts at zero, and only a stamp that starts elsewhere in each process tells
/// whose question was answered.
#[derive(Clone, Copy, Debug)]
pub struct QuestionStamps {
    offset: u64,
}

impl QuestionStamps {
    /// Creates the stamps of a process; `offset` is random.
    #[must_use]
    pub fn new(offset: u64) -> Self {
        Self { offset }
    }

    /// Returns the stamp of a question that is asked at `now`, the time since the process started.
    #[must_use]
    pub fn stamp(self, now: Duration) -> u64 {
        self.offset.wrapping_add(now.as_micros() as u64)
    }

    /// Returns when the question with this stamp was asked; `None` if this process cannot have asked
    /// it by `now`.
    #[must_use]
    pub fn asked_at(self, stamp: u64, now: Duration) -> Option<Duration> {
        let asked = Duration::from_micros(stamp.wrapping_sub(self.offset));
        (asked <= now).then_some(asked)
    }
}
