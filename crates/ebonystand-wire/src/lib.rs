//! Messages between VMs of the gateway, with their encoding, framing and authentication.
//!
//! A stream frame is `length: u32 (big endian) | payload | tag: 32 bytes`. The payload is a format byte
//! followed by a [`PeerMessage`] encoded in `postcard`, plain or compressed with LZ4 depending on the
//! format byte. The tag is an HMAC-SHA-256 under the fleet's secret over the connection's nonce, which
//! the accepting VM draws, the frame's sequence number and the payload. A datagram is `payload | tag`,
//! its tag computed over the payload alone.

use {
    bytes::{Buf, BufMut, BytesMut},
    ebonystand_core::{
        AllowanceMessage, CachedPrefix, Command, CommandOutcome, FeedMessage, Incarnation,
        ListReading, ListUpdate, LoadMessage, MemberId, OfferedRoom, OriginMessage, PartMessage,
        Prompt, QuarantineMessage, RegionId, ReplicaMessage, ServiceId, SlotMessage,
        SoftwareVersion, Version, VmId, WorkspaceId,
    },
    hmac::{Hmac, KeyInit, Mac},
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    sha2::Sha256,
    snafu::Snafu,
    std::{
        collections::{BTreeSet, VecDeque},
        net::SocketAddr,
    },
};

use payload::Payload;

pub use {
    bound_forwarded::BoundForwarded, error::Error, forwarded::Forwarded, frame_reader::FrameReader,
    frame_writer::FrameWriter, hello::Hello, nonce::Nonce, peer_message::PeerMessage,
    proposed::Proposed, secret::Secret, send_queue::SendQueue,
};

mod bound_forwarded;
mod error;
mod forwarded;
mod frame_reader;
mod frame_writer;
mod hello;
mod nonce;
mod payload;
mod peer_message;
mod proposed;
mod secret;
mod send_queue;

/// Result of encoding, decoding or authenticating a message.
pub type Result<T = (), E = Error> = std::result::Result<T, E>;
