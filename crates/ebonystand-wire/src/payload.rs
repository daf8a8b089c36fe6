use super::*;

/// Bytes of a message as a frame carries them: a byte that names the form, then the message.
///
/// The byte is another one in each build whose messages differ, so that a VM of another build is refused by
/// name and not misread.
///
/// Names and addresses recur in the messages that are large, such as lists of upstreams and copies
/// of the configuration. Compressed, a list of 150 upstreams takes less than half of its bytes.
#[derive(Debug)]
pub(crate) struct Payload;

impl Payload {
    const COMPRESSED: u8 = 5;
    /// Messages of fewer bytes are not worth the work.
    const COMPRESSED_FROM: usize = 256;
    /// Bytes that name the form.
    pub(crate) const FORM: usize = 1;
    const PLAIN: u8 = 4;

    pub(crate) fn decode(payload: &[u8]) -> Result<PeerMessage> {
        match payload {
            [Self::PLAIN, message @ ..] => Self::read(message),
            [Self::COMPRESSED, compressed @ ..] => {
                // The length is checked first, since that many bytes are taken for the message.
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
                Self::read(&message)
            }
            _ => Err(Error::Form {
                form: payload.first().copied(),
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
        let mut payload = Vec::with_capacity(Self::FORM + len);
        if len >= Self::COMPRESSED_FROM {
            let compressed = lz4_flex::compress_prepend_size(&message);
            if compressed.len() < len {
                payload.push(Self::COMPRESSED);
                payload.extend_from_slice(&compressed);
                return Ok(payload);
            }
        }
        payload.push(Self::PLAIN);
        payload.extend_from_slice(&message);
        Ok(payload)
    }

    fn read(message: &[u8]) -> Result<PeerMessage> {
        postcard::from_bytes(message).map_err(|source| Error::Decode { source })
    }
}
