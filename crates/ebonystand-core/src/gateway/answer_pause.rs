use super::*;

/// What the `retry-after` field of a 503 answer of an upstream asks of the VM that it answers.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum AnswerPause {
    /// The answer asks for no pause.
    #[default]
    Absent,
    /// The answer asks for a pause that cannot be used.
    Invalid(AnswerPauseError),
    /// The upstream wants no request from the VM for this time.
    Requested(Duration),
}

impl AnswerPause {
    /// Longest pause that is granted. Beyond it a malformed value would take the upstream out of use
    /// until the VM restarts.
    pub const MAX: Duration = Duration::from_secs(3_600);

    /// Decodes the values of the field: seconds, as a decimal number. A date is an error, since it
    /// would compare the clocks of two machines.
    pub fn parse<'a>(values: impl IntoIterator<Item = &'a str>) -> Self {
        let mut values = values.into_iter();
        match (values.next(), values.next()) {
            (None, _) => Self::Absent,
            (Some(text), None) => match Self::parse_seconds(text.trim()) {
                Some(pause) => Self::Requested(pause),
                None => Self::Invalid(AnswerPauseError::not_seconds(text)),
            },
            (Some(_), Some(_)) => Self::Invalid(AnswerPauseError::Repeated),
        }
    }

    /// Returns the time asked for, if it can be used.
    #[must_use]
    pub fn requested(&self) -> Option<Duration> {
        match self {
            Self::Requested(pause) => Some(*pause),
            Self::Absent | Self::Invalid(_) => None,
        }
    }

    fn parse_seconds(text: &str) -> Option<Duration> {
        let is_decimal = text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
        let seconds = text.parse::<f64>().ok().filter(|_| is_decimal)?;
        Some(Duration::try_from_secs_f64(seconds).map_or(Self::MAX, |pause| pause.min(Self::MAX)))
    }
}
