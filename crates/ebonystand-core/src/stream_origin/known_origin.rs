use super::*;

/// Origin of a stream, and how it is known.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KnownOrigin {
    /// All upstreams that can have begun the stream have this version, by this VM's lists or by those of
    /// another VM.
    OnlyVersion(StreamOrigin),
    /// The VM that passed on the first event recorded it.
    Recorded(StreamOrigin),
}

impl KnownOrigin {
    /// Returns the origin itself.
    #[must_use]
    pub fn into_origin(self) -> StreamOrigin {
        match self {
            Self::OnlyVersion(origin) | Self::Recorded(origin) => origin,
        }
    }

    /// Name of the source of the knowledge, for log lines.
    #[must_use]
    pub fn source(&self) -> &'static str {
        match self {
            Self::OnlyVersion(_) => "only version",
            Self::Recorded(_) => "record",
        }
    }
}
