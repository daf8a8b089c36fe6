use super::*;

/// Kind of a [`MembershipMessage`] and the data that goes with it.
///
/// `sent_ms` is read from the prober's own clock and echoed in the answer, so that only an answer
/// to a recent probe counts.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum MembershipBody {
    /// Answers a [`MembershipBody::Ping`].
    Ack {
        /// Address of the VM that started an indirect probe; the receiver forwards the answer to
        /// it.
        relay: Option<SocketAddr>,
        /// Time of the probe that this message answers, on the prober's clock, in milliseconds. It
        /// is copied from the ping.
        sent_ms: u64,
        /// VM that answers.
        vm: VmId,
    },
    /// Carries membership updates and nothing else.
    Gossip,
    /// Asks the receiver for a [`MembershipBody::Ack`].
    Ping {
        /// Address of the VM that started an indirect probe, if the sender pings on behalf of
        /// another VM.
        relay: Option<SocketAddr>,
        /// Time of the probe on the prober's clock, in milliseconds.
        sent_ms: u64,
    },
    /// Asks the receiver to ping a VM that did not answer the sender in time.
    PingRequest {
        /// Time of the sender's unanswered probe on the sender's clock, in milliseconds.
        sent_ms: u64,
        /// Address of the VM that did not answer.
        target: SocketAddr,
    },
    /// Answers a [`MembershipBody::Sync`]; the differing records are in the message's `updates`.
    Records {
        /// Whether the receiver lacks more records than the answering datagrams hold.
        more: bool,
    },
    /// Asks for the records in which the receiver's table differs from the sender's.
    Sync {
        /// Digests of the buckets of the sender's table, two little-endian bytes each.
        digests: Box<[u8]>,
    },
}

impl MembershipBody {
    /// Returns an upper bound of the encoded length in bytes.
    pub(crate) fn max_encoded_len(&self) -> usize {
        const FLAG: usize = 1;
        const VARIANT: usize = 1;
        let relay_len = |relay: &Option<SocketAddr>| FLAG + relay.map_or(0, address_encoded_len);
        VARIANT
            + match self {
                Self::Ack { relay, sent_ms, vm } => {
                    relay_len(relay) + varint_encoded_len(*sent_ms) + text_encoded_len(vm)
                }
                Self::Gossip => 0,
                Self::Ping { relay, sent_ms } => relay_len(relay) + varint_encoded_len(*sent_ms),
                Self::PingRequest { sent_ms, target } => {
                    varint_encoded_len(*sent_ms) + address_encoded_len(*target)
                }
                Self::Records { .. } => FLAG,
                Self::Sync { digests } => varint_encoded_len(digests.len() as u64) + digests.len(),
            }
    }
}
