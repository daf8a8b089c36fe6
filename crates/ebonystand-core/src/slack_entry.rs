use super::*;

/// Lowest slack of a bucket since reservations with adjacent marks, from `first_mark` up to the
/// next entry's.
#[derive(Debug)]
pub(crate) struct SlackEntry {
    /// Mark of the oldest reservation that the entry covers.
    pub(crate) first_mark: u64,
    /// Lowest slack of the bucket since the reservation at `first_mark`, in micro-tokens.
    pub(crate) slack: MicroTokens,
}
