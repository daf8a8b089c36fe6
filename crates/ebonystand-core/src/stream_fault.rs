use super::*;

/// Reason why an upstream's answer is incomplete.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
pub enum StreamFault {
    /// No token arrived for longer than the preset allows between two tokens.
    #[display("silent_between_tokens")]
    BetweenTokens,
    /// The caller disconnected.
    #[display("cancelled")]
    Cancelled,
    /// The deadline of the request passed.
    #[display("deadline")]
    Deadline,
    /// The first byte of the answer did not arrive in time.
    #[display("silent_before_first_byte")]
    FirstByte,
    /// The connection ended before the answer did.
    #[display("truncated")]
    Truncated,
}
