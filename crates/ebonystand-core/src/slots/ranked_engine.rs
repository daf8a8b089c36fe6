use super::*;

/// Engine that a request may be sent to, with what that costs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RankedEngine {
    /// Predicted delay of the request plus what it costs other requests.
    pub cost: Duration,
    /// Engine and what it would have to read.
    pub offer: SlotOffer,
}
