use super::*;

/// Prompt that was sent to an engine and whose answer has not begun.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SentRead {
    /// Whether the prompt found a free slot and an engine as fast as usual, as far as the VM knew.
    pub(crate) is_sound: bool,
    pub(crate) sent_at: Duration,
    /// Prompt tokens that the engine has to read.
    pub(crate) unread: Tokens,
}
