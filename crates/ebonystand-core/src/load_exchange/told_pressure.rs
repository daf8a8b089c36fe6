use super::*;

/// What requests have to expect in another region, as a VM passes it on.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ToldPressure {
    /// Time since the other region told it, in milliseconds.
    pub age_ms: u64,
    /// Time between two events of a stream, in milliseconds; 0 if none was seen lately.
    pub event_gap_ms: u64,
    /// Time to the first byte of an answer, in milliseconds.
    pub first_byte_ms: u64,
    /// The other region.
    pub region: RegionId,
    /// The service.
    pub service: ServiceId,
}
