use super::*;

/// What a request has to expect of a service in a region.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Pressure {
    /// Time between two events of a stream; zero if none was seen lately.
    pub event_gap: Duration,
    /// Time to the first byte of an answer, of a prompt without its own reading.
    pub first_byte: Duration,
}
