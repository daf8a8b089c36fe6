use super::*;

/// How a broken answer may be continued by another dispatch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Resumption {
    /// The request is repeated from the start, since nothing of the answer has reached the caller.
    Restart,
    /// An engine that supports it continues the answer after the given number of tokens, which have
    /// reached the caller.
    AtToken(Tokens),
    /// The answer is not continued, and the caller gets an error event. A new answer would repeat
    /// or contradict what the caller already has.
    Never,
}
