use super::*;

/// A caller's wish to take up a stream that has broken off.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StreamResumption {
    /// Attempt that brought the first event of the stream, if the caller names it.
    pub first_attempt: Option<RequestId>,
}
