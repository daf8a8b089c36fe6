use super::*;

/// How the question for a newer configuration ended that a VM put to another.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum PullEnd {
    /// The other VM answered.
    #[display("answered")]
    Answered,
    /// An answer came after the question had been given up.
    #[display("late")]
    Late,
    /// No answer came within [`Feed::PULL_ANSWER`].
    #[display("timed out")]
    TimedOut,
}
