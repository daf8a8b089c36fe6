use super::*;

/// Message that one VM sends to another over a stream. Any message may be lost or arrive late.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PeerMessage {
    /// Message of the protocol that shares allowances over the fleet.
    Allowance(AllowanceMessage),
    /// Prompt prefixes that engines have cached since the last such message, sent to a VM of another
    /// region.
    Cached(#[serde(with = "ebonystand_core::cached_news")] Vec<CachedPrefix>),
    /// Asks a VM which configuration version it has, so that the sender can confirm that its own is the
    /// newest.
    Confirm {
        /// Stamp of the question, which the answer repeats.
        stamp: u64,
    },
    /// Answers [`Self::Confirm`] with the version of the configuration that the sender uses.
    Confirmed {
        /// Stamp of the question, copied from [`Self::Confirm`].
        stamp: u64,
        /// Whether the answering VM leads the replicated log and holds a read lease, so that no other VM
        /// can have accepted a newer version.
        leading: bool,
        /// Version of the configuration in use at the answering VM.
        version: Version,
    },
    /// Message of the feed that distributes the configuration.
    Feed(Box<FeedMessage>),
    /// Identifies the sender; the first message of a connection.
    Hello(Hello),
    /// Load of the upstreams in the region of both sender and recipient.
    Load(LoadMessage),
    /// Checks that the connection still delivers messages to the recipient, which answers with one byte.
    Ping,
    /// Update of the list of upstreams, as read by a VM of the same region.
    Listed(ListReading, ListUpdate),
    /// Asks for the whole list of upstreams, because the update in [`Self::Listed`] does not fit the
    /// sender's list.
    ListWanted,
    /// Message about the origins of streams.
    Origin(OriginMessage),
    /// Message about parts of prompts that crash upstreams.
    Part(PartMessage),
    /// Predicted latencies of requests in the sender's region.
    Pressure {
        /// For each service, the time to the first byte of an answer and the time between two events of
        /// a stream, both in milliseconds, and the room that the region offers to the others.
        services: Vec<(ServiceId, u64, u64, Option<OfferedRoom>)>,
        /// Region that the latencies apply to.
        region: RegionId,
    },
    /// Asks the recipient to propose a command to the replicated log.
    Propose {
        /// Command to append to the log.
        command: Box<Command>,
        /// Identifier of the proposal, which the answer repeats.
        id: u64,
    },
    /// Answers [`Self::Propose`] with the result of proposing the command.
    Proposed {
        /// Identifier of the proposal, copied from [`Self::Propose`].
        id: u64,
        /// Result of the proposal.
        proposed: Box<Proposed>,
    },
    /// Message of the quarantine of requests that crash upstreams.
    Quarantine(QuarantineMessage),
    /// Message between replicas of the replicated log.
    Replica {
        /// Member identifier of the sending replica.
        from: MemberId,
        /// Message of the protocol that replicates the log.
        message: ReplicaMessage,
    },
    /// Message about slots of engines in the region of both sender and recipient.
    Slots(SlotMessage),
}

impl PeerMessage {
    /// Length in bytes assumed for a message that cannot be encoded. Sending it fails later.
    const FALLBACK_LEN: usize = 1_024;

    /// Returns the encoded length in bytes, before compression. For load messages, the most frequent ones,
    /// it is an estimate: the exact length would mean encoding them twice, which costs more than it gains.
    pub(crate) fn encoded_len(&self) -> usize {
        match self {
            Self::Load(load) => load.max_encoded_len(),
            other => postcard::experimental::serialized_size(other).unwrap_or(Self::FALLBACK_LEN),
        }
    }

    /// Returns whether the message grows with the configuration, the upstreams or the cached prefixes, and
    /// is therefore sent after the short messages. All updates of the list count, so that none overtakes
    /// the one that it applies to.
    pub(crate) fn is_long(&self) -> bool {
        matches!(self, Self::Cached(_) | Self::Feed(_) | Self::Listed(..))
    }

    /// Returns whether this is a load message of the same kind as `load`. A queue then holds one message
    /// merged from the two.
    pub(crate) fn is_replaced_by(&self, load: &LoadMessage) -> bool {
        matches!(self, Self::Load(older) if std::mem::discriminant(older) == std::mem::discriminant(load))
    }
}
