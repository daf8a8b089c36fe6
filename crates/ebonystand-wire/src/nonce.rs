/// Random bytes that the accepting VM sends at the start of each connection. Every frame's tag covers
/// them, so that frames recorded on one connection cannot be replayed on another.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Nonce([u8; Nonce::LEN]);

impl Nonce {
    /// Length of a nonce in bytes.
    pub const LEN: usize = 16;

    /// Returns the nonce as the bytes that go over the connection.
    #[must_use]
    pub fn as_bytes(&self) -> &[u8; Self::LEN] {
        &self.0
    }
}

impl From<[u8; Nonce::LEN]> for Nonce {
    fn from(bytes: [u8; Self::LEN]) -> Self {
        Self(bytes)
    }
}
