use super::*;

/// Limit of an upstream in force on one VM.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct NamedLimit {
    pub(crate) limit: UpstreamLimit,
    /// Time at which an answer last named it.
    pub(crate) named_at: Duration,
}
