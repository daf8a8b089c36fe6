use super::*;

/// Reason why an entry of the list names no upstream that can be used.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ListedUpstreamError {
    /// Nothing can listen at the address.
    #[snafu(display("no upstream can be reached at {address}"))]
    Address {
        /// Address of the entry.
        address: SocketAddr,
    },
    /// The upstream is cold for too long.
    #[snafu(display("cold for {time:?}, more than {:?}", ListedUpstream::MAX_COLD_TIME))]
    ColdTime {
        /// Time of the entry.
        time: Duration,
    },
    /// The upstream works on too many requests at once.
    #[snafu(display("{slots} slots, more than {}", ListedUpstream::MAX_SLOTS))]
    Slots {
        /// Slots of the entry.
        slots: u32,
    },
}
