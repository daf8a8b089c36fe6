use super::*;

/// One fault of the settings.
#[derive(Debug, Eq, PartialEq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SettingsFault {
    /// A value is outside its range.
    #[snafu(display("{path}: must be between {min} and {max}"))]
    Range {
        /// Path in the settings.
        path: Box<str>,
        /// Least value.
        min: u64,
        /// Greatest value.
        max: u64,
    },
    /// A field is missing.
    #[snafu(display("{path}: is missing"))]
    Missing {
        /// Path in the settings.
        path: Box<str>,
    },
    /// A number is not above 0.
    #[snafu(display("{path}: must be above 0"))]
    NotPositive {
        /// Path in the settings.
        path: Box<str>,
    },
    /// The settings are not JSON.
    #[snafu(display("not JSON: {message}"))]
    Syntax {
        /// What the parser says.
        message: Box<str>,
    },
    /// A field is of another type.
    #[snafu(display("{path}: {message}"))]
    Type {
        /// Path in the settings.
        path: Box<str>,
        /// What the parser says.
        message: Box<str>,
    },
    /// No such field.
    #[snafu(display("{path}: no such setting"))]
    Unknown {
        /// Path in the settings.
        path: Box<str>,
    },
}
