use super::*;

/// Fault injected into a fake upstream. A [`Registry`] has no streams and answers `POST` calls only under
/// [`Self::None`] and [`Self::Error`].
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// Requests are answered normally.
    #[default]
    None,
    /// The connection closes in the middle of a stream.
    Crash,
    /// Requests are answered with status 500.
    Error,
    /// Requests are read but never answered, while the connection stays open.
    Silent,
    /// A stream stops in the middle, while its connection stays open.
    Stall,
    /// A stream ends in the middle, without its `[DONE]` event.
    Truncate,
}
