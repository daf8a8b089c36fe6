use super::*;

/// Purpose of a [`MembershipMessage`]. `sent_ms` is the prober's own clock, echoed, so that only
/// an answer to a recent probe counts.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum MembershipBody {
    /// Answer to [`MembershipBody::Ping`].
    Ack {
        /// Prober that the receiver passes the answer on to.
        relay: Option<SocketAddr>,
        /// Echo.
        sent_ms: u64,
        /// Who answers.
        vm: VmId,
    },
    /// Carries news only.
    Gossip,
    /// Asks for an answer.
    Ping {
        /// Prober on whose behalf the sender asks.
        relay: Option<SocketAddr>,
        /// When the prober asked.
        sent_ms: u64,
    },
    /// Asks the receiver to ping a VM that did not answer the sender.
    PingRequest {
        /// When the sender asked.
        sent_ms: u64,
        /// VM that did not answer.
        target: SocketAddr,
    },
    /// Answer to [`MembershipBody::Sync`]; the records stand in the message's updates.
    Records {
        /// The receiver lacks more than what fits.
        more: bool,
    },
    /// Asks for the records that differ.
    Sync {
        /// Digest of each bucket of the sender's records, two bytes each.
        digests: Box<[u8]>,
    },
}

impl MembershipBody {
    /// Encoded length in bytes, at most.
    pub(crate) fn weight(&self) -> usize {
        const FLAG: usize = 1;
        const VARIANT: usize = 1;
        let relay_weight = |relay: &Option<SocketAddr>| FLAG + relay.map_or(0, address_encoded_len);
        VARIANT
            + match self {
                Self::Ack { relay, sent_ms, vm } => {
                    relay_weight(relay) + varint_encoded_len(*sent_ms) + text_encoded_len(vm)
                }
                Self::Gossip => 0,
                Self::Ping { relay, sent_ms } => relay_weight(relay) + varint_encoded_len(*sent_ms),
                Self::PingRequest { sent_ms, target } => {
                    varint_encoded_len(*sent_ms) + address_encoded_len(*target)
                }
                Self::Records { .. } => FLAG,
                Self::Sync { digests } => varint_encoded_len(digests.len() as u64) + digests.len(),
            }
    }
}
