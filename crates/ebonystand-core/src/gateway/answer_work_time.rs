use super::*;

/// What an answer says of the time that work takes at its upstream now.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum AnswerWorkTime {
    /// Nothing.
    #[default]
    Absent,
    /// Something that is no number, or none that should be believed.
    Invalid,
    /// The time.
    Told(WorkTime),
}

impl AnswerWorkTime {
    /// Reads a figure in percent of the usual time; `None` if the answer has none.
    #[must_use]
    pub fn parse(text: Option<&str>) -> Self {
        let Some(text) = text else {
            return Self::Absent;
        };
        let percent = text.trim().parse::<f64>().ok();
        match percent.and_then(WorkTime::from_percent) {
            Some(time) => Self::Told(time),
            None => Self::Invalid,
        }
    }
}
