//! Which software version began a stream, so that a caller that takes the stream up again at any VM gets its
//! continuation from an upstream of the same version.

use super::*;

pub use {
    known_origin::KnownOrigin,
    origin_holders::OriginHolders,
    origin_inquiry::{InquiryState, OriginInquiry},
    origin_message::{OriginAnswer, OriginMessage},
    origin_table::OriginTable,
    stream_key::StreamKey,
    stream_origin::StreamOrigin,
    stream_resumption::StreamResumption,
};

mod known_origin;
mod origin_holders;
mod origin_inquiry;
mod origin_message;
mod origin_table;
mod stream_key;
#[expect(
    clippy::module_inception,
    reason = "the type has the name of the subsystem"
)]
mod stream_origin;
mod stream_resumption;
