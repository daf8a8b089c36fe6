use super::*;

/// Reason why the limit that an upstream names cannot be used.
#[derive(Clone, Debug, PartialEq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum UpstreamLimitError {
    /// The text is no decimal number.
    #[snafu(display("`{text}` is no decimal number"))]
    NotDecimal {
        /// Beginning of the text.
        text: Box<str>,
    },
    /// The number is not between [`UpstreamLimit::MIN_PER_S`] and [`UpstreamLimit::MAX_PER_S`].
    #[snafu(display("{per_s} requests per second are outside the accepted range"))]
    OutOfRange {
        /// Requests per second.
        per_s: f64,
    },
    /// The answer names more than one limit.
    #[snafu(display("the answer names more than one limit"))]
    Repeated,
}

impl UpstreamLimitError {
    /// Number of characters of a malformed text that are kept for the log line.
    const MAX_TEXT: usize = 32;

    pub(crate) fn not_decimal(text: &str) -> Self {
        Self::NotDecimal {
            text: text.chars().take(Self::MAX_TEXT).collect(),
        }
    }
}
