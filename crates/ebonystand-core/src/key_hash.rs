use super::*;

/// SHA-256 of a key's secret, displayed as 64 hexadecimal digits.
#[derive(Clone, Copy, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[display("{}", hex::encode(_0))]
pub struct KeyHash([u8; KeyHash::LEN]);

impl KeyHash {
    /// Length of the hash in bytes.
    pub const LEN: usize = 32;

    /// Returns the bytes of the hash.
    #[must_use]
    pub fn as_bytes(&self) -> &[u8; Self::LEN] {
        &self.0
    }

    /// Hashes the secret of a key.
    #[must_use]
    pub fn from_secret(secret: &str) -> Self {
        use sha2::Digest;
        Self(sha2::Sha256::digest(secret.as_bytes()).into())
    }
}

impl std::fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "KeyHash({}…)", hex::encode(&self.0[..4]))
    }
}

impl From<[u8; KeyHash::LEN]> for KeyHash {
    fn from(bytes: [u8; Self::LEN]) -> Self {
        Self(bytes)
    }
}

impl Serialize for KeyHash {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            serializer.collect_str(self)
        } else {
            self.0.serialize(serializer)
        }
    }
}

impl<'de> Deserialize<'de> for KeyHash {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if !deserializer.is_human_readable() {
            return Ok(Self(Deserialize::deserialize(deserializer)?));
        }
        let text = Box::<str>::deserialize(deserializer)?;
        let mut bytes = [0; Self::LEN];
        hex::decode_to_slice(&*text, &mut bytes).map_err(serde::de::Error::custom)?;
        Ok(Self(bytes))
    }
}
