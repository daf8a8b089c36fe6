use super::*;

/// Message between VMs about the origins of streams.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum OriginMessage {
    /// Answers [`Self::Ask`].
    Answer {
        /// What the sender knows.
        answer: OriginAnswer,
        /// Number of the question, copied from it.
        id: u64,
    },
    /// Asks for the origin of a stream.
    Ask {
        /// Number of the question, unique on the VM that asks.
        id: u64,
        /// Stream that is taken up again.
        key: StreamKey,
        /// Route of the stream.
        route: Box<str>,
    },
    /// Has the recipient hold the origin of a stream.
    Hold {
        /// Stream that has begun.
        key: StreamKey,
        /// Time in milliseconds for which the stream can be taken up again.
        lifetime_ms: u64,
        /// Origin of the stream.
        origin: StreamOrigin,
    },
}

/// What a VM knows of the origin of a stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum OriginAnswer {
    /// No record, but all upstreams that can have begun the stream have this version.
    OnlyVersion(StreamOrigin),
    /// The origin was recorded.
    Recorded(StreamOrigin),
    /// Nothing is known.
    Unknown,
}

impl From<Option<KnownOrigin>> for OriginAnswer {
    fn from(known: Option<KnownOrigin>) -> Self {
        match known {
            Some(KnownOrigin::OnlyVersion(origin)) => Self::OnlyVersion(origin),
            Some(KnownOrigin::Recorded(origin)) => Self::Recorded(origin),
            None => Self::Unknown,
        }
    }
}
