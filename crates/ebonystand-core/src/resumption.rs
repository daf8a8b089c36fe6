use super::*;

/// How a broken answer may be continued by another dispatch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Resumption {
    /// From the start: nothing of the answer has reached the caller.
    Restart,
    /// By an engine that can continue after the given number of tokens, which have reached the
    /// caller.
    AtToken(Tokens),
    /// Not at all: the caller gets an error event. A new answer would repeat or contradict what the
    /// caller already has.
    Never,
}
