use super::*;

/// Encoder that turns messages into authenticated frames of one connection.
#[derive(Debug)]
pub struct FrameWriter {
    nonce: Nonce,
    secret: Secret,
    sequence: u64,
}

impl FrameWriter {
    /// Creates a writer for a connection whose accepting VM sent `nonce`.
    #[must_use]
    pub fn new(secret: Secret, nonce: Nonce) -> Self {
        Self {
            nonce,
            secret,
            sequence: 0,
        }
    }

    /// Encodes `message` as the next frame of the connection and appends it to `buf`.
    ///
    /// # Errors
    /// [`Error::Encode`] or [`Error::TooLarge`]; `buf` and the sequence number are then unchanged.
    pub fn write(&mut self, message: &PeerMessage, buf: &mut BytesMut) -> Result {
        let payload = Payload::encode(message)?;
        let mac = self.secret.frame_mac(&self.nonce, self.sequence, &payload);
        self.sequence += 1;
        buf.put_u32(payload.len() as u32);
        buf.put_slice(&payload);
        buf.put_slice(&mac.finalize().into_bytes());
        Ok(())
    }
}
