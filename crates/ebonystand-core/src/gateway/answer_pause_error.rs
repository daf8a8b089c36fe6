use super::*;

/// Reason why the pause that an upstream asks for cannot be used.
#[derive(Clone, Debug, PartialEq, Snafu)]
pub enum AnswerPauseError {
    /// The text is no decimal number of seconds.
    #[snafu(display("`{text}` is no decimal number of seconds"))]
    NotSeconds {
        /// Beginning of the text.
        text: Box<str>,
    },
    /// The answer asks for more than one pause.
    #[snafu(display("the answer asks for more than one pause"))]
    Repeated,
}

impl AnswerPauseError {
    /// Number of characters of a malformed text that are kept for the log line.
    const MAX_TEXT: usize = 32;

    pub(crate) fn not_seconds(text: &str) -> Self {
        Self::NotSeconds {
            text: text.chars().take(Self::MAX_TEXT).collect(),
        }
    }
}
