use super::*;

/// Load that an upstream reports along with an answer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ReportedSlots {
    /// Requests that the upstream is working on.
    pub running: u32,
    /// Most requests that the upstream works on at once.
    pub slots: u32,
    /// Requests that wait in the upstream's own queue.
    pub waiting: u32,
    /// Time that work takes at the upstream now.
    pub work_time: AnswerWorkTime,
}
