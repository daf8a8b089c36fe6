use super::*;

/// Cuts a connection's bytes into messages and checks each of them.
#[derive(Debug)]
pub struct FrameReader {
    buf: BytesMut,
    limit: usize,
    nonce: Nonce,
    secret: Secret,
    sequence: u64,
}

impl FrameReader {
    /// Largest payload of the first frame in bytes. Until its tag is found right, a stranger can
    /// make the VM hold no more than this.
    pub const MAX_FIRST_PAYLOAD: usize = 1 << 10;
    /// Largest message in bytes; a larger announcement ends the connection before it is stored.
    pub const MAX_PAYLOAD: usize = 8 << 20;

    /// Reader of a connection that opened with `nonce`.
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

    /// Buffer that the next bytes of the connection go to.
    pub fn buf(&mut self) -> &mut BytesMut {
        &mut self.buf
    }

    /// The next whole message, or `None` if more bytes are needed.
    ///
    /// # Errors
    /// [`Error::Authentic`], [`Error::Decode`] or [`Error::TooLarge`]; the connection is then to
    /// be closed, since what follows cannot be trusted.
    pub fn next_message(&mut self) -> Result<Option<PeerMessage>> {
        let Some(head) = self.buf.first_chunk::<4>() else {
            return Ok(None);
        };
        let len = u32::from_be_bytes(*head) as usize;
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
        mac.verify_slice(&tag).map_err(|_| Error::Authentic)?;
        self.limit = Self::MAX_PAYLOAD + Payload::FORM;
        self.sequence += 1;
        Payload::decode(&payload).map(Some)
    }
}
