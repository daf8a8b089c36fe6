//! Messages between VMs of the gateway, and how they are framed and authenticated.
//!
//! A stream frame is `length: u32 (big endian) | payload | tag: 32 bytes`, the payload being a byte
//! that names its form and a [`PeerMessage`] in `postcard`, compressed by LZ4 in one of the forms. The tag is an HMAC-SHA-256 over a nonce that the accepting VM
//! drew for the connection, the frame's sequence number and the payload, under the fleet's
//! secret. A datagram is `payload | tag`, its tag over the payload alone.

use {
    bytes::{Buf, BufMut, BytesMut},
    ebonystand_core::{
        AllowanceMessage, CachedPrefix, Command, CommandOutcome, FeedMessage, Incarnation,
        ListedUpstream, LoadMessage, MemberId, Prompt, QuarantineMessage, RegionId, ReplicaMessage,
        ServiceId, Version, VmId, WorkspaceId,
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
    error::Error, forwarded::Forwarded, frame_reader::FrameReader, frame_writer::FrameWriter,
    hello::Hello, nonce::Nonce, peer_message::PeerMessage, proposed::Proposed, secret::Secret,
    send_queue::SendQueue,
};

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

/// Result of coding or checking a message.
pub type Result<T = (), E = Error> = std::result::Result<T, E>;
