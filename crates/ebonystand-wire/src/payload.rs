use super::*;

/// Codec of a frame's payload: a format byte, then the message, plain or compressed.
///
/// The format bytes change with every build whose messages differ, so that messages of another build are
/// refused with [`Error::UnknownFormat`] instead of being decoded as the wrong message.
///
/// Large messages, such as lists of upstreams and copies of the configuration, repeat names and
/// addresses and compress well: a list of 150 upstreams shrinks to less than half.
#[derive(Debug)]
pub(crate) struct Payload;

impl Payload {
    /// Format byte of a message compressed with LZ4, with its uncompressed length prepended.
    const COMPRESSED_FORMAT: u8 = 27;
    /// Minimum length in bytes of a message that is compressed; shorter messages save too little to be
    /// worth the CPU time.
    const MIN_COMPRESSED_LEN: usize = 256;
    /// Length of the format byte at the start of each payload, in bytes.
    pub(crate) const FORMAT_LEN: usize = 1;
    /// Format byte of an uncompressed message.
    const PLAIN_FORMAT: u8 = 26;

    pub(crate) fn decode(payload: &[u8]) -> Result<PeerMessage> {
        match payload {
            [Self::PLAIN_FORMAT, message @ ..] => Self::decode_message(message),
            [Self::COMPRESSED_FORMAT, compressed @ ..] => {
                // Decompression allocates the declared length, which must therefore be checked first.
                let (len, _) = lz4_flex::block::uncompressed_size(compressed)
                    .map_err(|source| Error::Decompress { source })?;
                if len > FrameReader::MAX_PAYLOAD {
                    return Err(Error::TooLarge {
                        len,
                        limit: FrameReader::MAX_PAYLOAD,
                    });
                }
                let message = lz4_flex::decompress_size_prepended(compressed)
                    .map_err(|source| Error::Decompress { source })?;
                Self::decode_message(&message)
            }
            _ => Err(Error::UnknownFormat {
                format: payload.first().copied(),
            }),
        }
    }

    pub(crate) fn encode(message: &PeerMessage) -> Result<Vec<u8>> {
        let message = postcard::to_stdvec(message).map_err(|source| Error::Encode { source })?;
        let len = message.len();
        if len > FrameReader::MAX_PAYLOAD {
            return Err(Error::TooLarge {
                len,
                limit: FrameReader::MAX_PAYLOAD,
            });
        }
        let mut payload = Vec::with_capacity(Self::FORMAT_LEN + len);
        if len >= Self::MIN_COMPRESSED_LEN {
            let compressed = lz4_flex::compress_prepend_size(&message);
            if compressed.len() < len {
                payload.push(Self::COMPRESSED_FORMAT);
                payload.extend_from_slice(&compressed);
                return Ok(payload);
            }
        }
        payload.push(Self::PLAIN_FORMAT);
        payload.extend_from_slice(&message);
        Ok(payload)
    }

    fn decode_message(message: &[u8]) -> Result<PeerMessage> {
        postcard::from_bytes(message).map_err(|source| Error::Decode { source })
    }
}
