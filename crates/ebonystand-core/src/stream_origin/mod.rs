//! Which software version began a stream, so that a caller that takes the stream up again at any VM gets its
//! continuation from an upstream of the same version.

use super::*;

pub use {
    known_origin::KnownOrigin,
    origin_holders::OriginHolders,
    origin_inquiry::{InquiryState, OriginInquiry},
    origin_message::{OriginAnswer, OriginMessage},
    origin_table::OriginTable,
    state::StreamOrigin,
    stream_key::StreamKey,
    stream_resumption::StreamResumption,
};

mod known_origin;
mod origin_holders;
mod origin_inquiry;
mod origin_message;
mod origin_table;
mod state;
mod stream_key;
mod stream_resumption;
