use super::*;

/// Decoder that splits the bytes of a connection into frames, authenticates each frame and decodes its
/// message.
#[derive(Debug)]
pub struct FrameReader {
    buf: BytesMut,
    limit: usize,
    nonce: Nonce,
    secret: Secret,
    sequence: u64,
}

impl FrameReader {
    /// Maximum payload of the first frame in bytes. It limits the memory that a sender without the
    /// fleet's secret can make the VM allocate before the first tag is verified.
    pub const MAX_FIRST_PAYLOAD: usize = 1 << 10;
    /// Maximum length of a message in bytes. A frame that declares more is refused before it is buffered,
    /// and its connection is closed.
    pub const MAX_PAYLOAD: usize = 8 << 20;

    /// Creates a reader for a connection whose accepting VM sent `nonce`.
    #[must_use]
    pub fn new(secret: Secret, nonce: Nonce) -> Self {
        Self {
            buf: BytesMut::new(),
            limit: Self::MAX_FIRST_PAYLOAD,
            nonce,
            secret,
            sequence: 0,
        }
    }

    /// Returns the buffer to which the caller appends bytes received on the connection.
    pub fn buf(&mut self) -> &mut BytesMut {
        &mut self.buf
    }

    /// Removes the next complete frame from the buffer and returns its message; `None` if the buffer
    /// holds no complete frame.
    ///
    /// # Errors
    /// [`Error::NotAuthentic`], [`Error::Decode`], [`Error::Decompress`], [`Error::UnknownFormat`] or
    /// [`Error::TooLarge`]. The caller must then close the connection, since the bytes that follow
    /// cannot be trusted.
    pub fn next_message(&mut self) -> Result<Option<PeerMessage>> {
        let Some(header) = self.buf.first_chunk::<4>() else {
            return Ok(None);
        };
        let len = u32::from_be_bytes(*header) as usize;
        if len > self.limit {
            return Err(Error::TooLarge {
                len,
                limit: self.limit,
            });
        }
        if self.buf.len() < 4 + len + Secret::TAG_LEN {
            return Ok(None);
        }
        self.buf.advance(4);
        let payload = self.buf.split_to(len);
        let tag = self.buf.split_to(Secret::TAG_LEN);
        let mac = self.secret.frame_mac(&self.nonce, self.sequence, &payload);
        mac.verify_slice(&tag).map_err(|_| Error::NotAuthentic)?;
        self.limit = Self::MAX_PAYLOAD + Payload::FORMAT_LEN;
        self.sequence += 1;
        Payload::decode(&payload).map(Some)
    }
}
