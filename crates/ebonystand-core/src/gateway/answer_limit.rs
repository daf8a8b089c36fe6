use super::*;

/// What an upstream's answer says of a limit.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum AnswerLimit {
    /// The answer names no limit.
    #[default]
    Absent,
    /// The answer names a limit that cannot be used.
    Invalid(UpstreamLimitError),
    /// The answer names this limit.
    Named(UpstreamLimit),
}

impl AnswerLimit {
    /// Decodes the values of the field that names a limit.
    pub fn parse<'a>(values: impl IntoIterator<Item = &'a str>) -> Self {
        let mut values = values.into_iter();
        match (values.next(), values.next()) {
            (None, _) => Self::Absent,
            (Some(text), None) => match UpstreamLimit::parse(text.trim()) {
                Ok(limit) => Self::Named(limit),
                Err(error) => Self::Invalid(error),
            },
            (Some(_), Some(_)) => Self::Invalid(UpstreamLimitError::Repeated),
        }
    }
}
