use super::*;

/// Predicted latency of a service in another region, as relays pass it on within their region.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RelayedLatency {
    /// Age of the other region's report, in milliseconds.
    pub age_ms: u64,
    /// Average time between two events of a stream, in milliseconds; 0 if no stream was seen
    /// recently.
    pub event_gap_ms: u64,
    /// Time to the first byte of an answer, in milliseconds, without the reading of the request's
    /// own prompt.
    pub first_byte_ms: u64,
    /// Room that the region offers to the others; `None` if it tells none.
    pub offered: Option<OfferedRoom>,
    /// Region that the latency applies to.
    pub region: RegionId,
    /// Service that the latency applies to.
    pub service: ServiceId,
}
