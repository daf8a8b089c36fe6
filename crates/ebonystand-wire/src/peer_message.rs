use super::*;

/// What one VM tells another over a stream. Each may be lost or come late.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PeerMessage {
    /// About allowances.
    Allowance(AllowanceMessage),
    /// What engines keep of prompts, news since the last message, for a VM of another region.
    Cached(#[serde(with = "ebonystand_core::cached_news")] Vec<CachedPrefix>),
    /// Asks whether the sender has the newest configuration.
    Confirm {
        /// When it was asked on the sender's clock, in microseconds; the answer carries it back.
        asked_us: u64,
    },
    /// Answers [`Self::Confirm`].
    Confirmed {
        /// Time that the question carried.
        asked_us: u64,
        /// The answering VM leads the log and holds a lease, so that no other can have accepted a
        /// newer version.
        leading: bool,
        /// Version in force there.
        version: Version,
    },
    /// About the configuration.
    Feed(Box<FeedMessage>),
    /// Opens a connection.
    Hello(Hello),
    /// About the load at upstreams of the region that sender and recipient stand in.
    Load(LoadMessage),
    /// Shows that the connection is alive in this direction; answered by a byte.
    Ping,
    /// The list of upstreams as a VM of the same region has read it.
    Listed {
        /// Hash of the list.
        digest: u64,
        /// The list; absent where it has not changed.
        upstreams: Option<Vec<ListedUpstream>>,
    },
    /// Asks for the list behind a digest that is not known.
    ListWanted,
    /// What requests have to expect in the sender's region.
    Pressure {
        /// Time to the first byte of an answer and between two events of a stream, by service, in
        /// milliseconds.
        first_byte_and_gap_ms: Vec<(ServiceId, u64, u64)>,
        /// The region.
        region: RegionId,
    },
    /// Asks for a command to be ordered.
    Propose {
        /// The command.
        command: Box<Command>,
        /// Number that the answer carries.
        id: u64,
    },
    /// Answers [`Self::Propose`].
    Proposed {
        /// Number of the question.
        id: u64,
        /// What became of it.
        proposed: Box<Proposed>,
    },
    /// About requests that crash upstreams.
    Quarantine(QuarantineMessage),
    /// Of the replicated log.
    Replica {
        /// Replica that sends it.
        from: MemberId,
        /// The message.
        message: ReplicaMessage,
    },
}

impl PeerMessage {
    /// Bytes taken for a message that cannot be encoded; it is refused when it is sent.
    const UNKNOWN: usize = 1_024;

    /// Bytes before compression. Those of the most frequent message are estimated: to encode it twice would
    /// cost more than is gained.
    pub(crate) fn bytes(&self) -> usize {
        match self {
            Self::Load(load) => load.max_encoded_len(),
            other => postcard::experimental::serialized_size(other).unwrap_or(Self::UNKNOWN),
        }
    }

    /// Whether it may wait for others: it grows with the configuration or the upstreams.
    pub(crate) fn is_long(&self) -> bool {
        matches!(
            self,
            Self::Cached(_)
                | Self::Feed(_)
                | Self::Listed {
                    upstreams: Some(_),
                    ..
                }
        )
    }

    /// Whether it tells an older state of the same load.
    pub(crate) fn is_load_like(&self, load: &LoadMessage) -> bool {
        matches!(self, Self::Load(older) if std::mem::discriminant(older) == std::mem::discriminant(load))
    }
}
