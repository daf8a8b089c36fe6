use super::*;

/// Why bytes from a peer were refused.
#[derive(Debug, Snafu)]
#[snafu(context(suffix(false)), visibility(pub(crate)))]
pub enum Error {
    /// The tag does not match: a stranger's bytes, or a frame replayed or reordered.
    #[snafu(display("message is not authentic"))]
    Authentic,
    /// The payload is no message of this version.
    #[snafu(display("message cannot be decoded: {source}"))]
    Decode {
        /// What the codec says.
        source: postcard::Error,
    },
    /// A compressed payload is damaged.
    #[snafu(display("message cannot be decompressed: {source}"))]
    Decompress {
        /// What the codec says.
        source: lz4_flex::block::DecompressError,
    },
    /// A message cannot be encoded.
    #[snafu(display("message cannot be encoded: {source}"))]
    Encode {
        /// What the codec says.
        source: postcard::Error,
    },
    /// The payload is in no form of this build.
    #[snafu(display("message is in form {form:?}, of another build of the daemon"))]
    Form {
        /// The byte that names the form; none if there is not even that.
        form: Option<u8>,
    },
    /// The fleet's secret is too short to protect anything.
    #[snafu(display("secret has {len} bytes; at least {} are needed", Secret::MIN_LEN))]
    SecretLength {
        /// Its length in bytes.
        len: usize,
    },
    /// The frame is larger than any message.
    #[snafu(display("frame of {len} bytes is larger than the limit of {limit}"))]
    TooLarge {
        /// Announced length in bytes.
        len: usize,
        /// Limit in bytes.
        limit: usize,
    },
}
