use super::*;

/// Error of encoding, decoding or authenticating a message between VMs.
#[derive(Debug, Snafu)]
#[snafu(context(suffix(false)), visibility(pub(crate)))]
pub enum Error {
    /// The authentication tag doesn't match: the sender doesn't have the fleet's secret, or the frame was
    /// altered, replayed or reordered.
    #[snafu(display("message is not authentic"))]
    NotAuthentic,
    /// The message could not be decoded from `postcard`.
    #[snafu(display("message cannot be decoded: {source}"))]
    Decode {
        /// Error from `postcard`.
        source: postcard::Error,
    },
    /// The compressed payload is corrupt.
    #[snafu(display("message cannot be decompressed: {source}"))]
    Decompress {
        /// Error from `lz4_flex`.
        source: lz4_flex::block::DecompressError,
    },
    /// The message could not be encoded in `postcard`.
    #[snafu(display("message cannot be encoded: {source}"))]
    Encode {
        /// Error from `postcard`.
        source: postcard::Error,
    },
    /// The payload starts with a format byte that this build does not know.
    #[snafu(display(
        "message has payload format {format:?}, which belongs to another build of the daemon"
    ))]
    UnknownFormat {
        /// Format byte of the payload; `None` if the payload is empty.
        format: Option<u8>,
    },
    /// The fleet's secret is shorter than [`Secret::MIN_LEN`].
    #[snafu(display("secret has {len} bytes; at least {} are needed", Secret::MIN_LEN))]
    SecretLength {
        /// Length of the secret in bytes.
        len: usize,
    },
    /// The frame or the decompressed message exceeds the size limit.
    #[snafu(display("frame of {len} bytes is larger than the limit of {limit}"))]
    TooLarge {
        /// Length of the message in bytes, or the length that its frame declares.
        len: usize,
        /// Size limit in bytes.
        limit: usize,
    },
}
