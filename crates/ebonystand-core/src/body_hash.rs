use super::*;

/// SHA-256 hash of an order's request: its method, path and body.
#[derive(Clone, Copy, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[display("{}", hex::encode(_0))]
pub struct BodyHash([u8; BodyHash::LEN]);

impl BodyHash {
    /// Length of the hash in bytes.
    pub const LEN: usize = 32;

    /// Hashes a request. The length of each part precedes it, so that no two different requests
    /// hash the same bytes.
    #[must_use]
    pub fn from_request(method: &str, path: &str, body: &[u8]) -> Self {
        use sha2::Digest;
        let mut digest = sha2::Sha256::new();
        for part in [method.as_bytes(), path.as_bytes(), body] {
            digest.update((part.len() as u64).to_be_bytes());
            digest.update(part);
        }
        Self(digest.finalize().into())
    }
}

impl std::fmt::Debug for BodyHash {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "BodyHash({}…)", hex::encode(&self.0[..4]))
    }
}
