use super::*;

/// Predicted latency of a service in a region.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ServiceLatency {
    /// Average time between two events of a stream; zero if no stream was seen recently.
    pub event_gap: Duration,
    /// Time to the first byte of an answer, without the reading of the request's own prompt.
    pub first_byte: Duration,
    /// Room that the region offers to the others; `None` if it tells none.
    pub offered: Option<OfferedRoom>,
}
