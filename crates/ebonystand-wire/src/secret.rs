use super::*;

/// Key that all VMs of a fleet share and that authenticates the messages between them.
#[derive(Clone)]
pub struct Secret(Hmac<Sha256>);

impl Secret {
    /// Minimum length of the secret in bytes.
    pub const MIN_LEN: usize = 32;
    /// Length of an authentication tag in bytes.
    pub const TAG_LEN: usize = 32;

    /// Creates a secret from `bytes`.
    ///
    /// # Errors
    /// [`Error::SecretLength`] if there are fewer than [`Self::MIN_LEN`] bytes.
    pub fn new(bytes: &[u8]) -> Result<Self> {
        let len = bytes.len();
        if len < Self::MIN_LEN {
            return Err(Error::SecretLength { len });
        }
        let mac = Hmac::new_from_slice(bytes).map_err(|_| Error::SecretLength { len })?;
        Ok(Self(mac))
    }

    /// Verifies the tag of a datagram and decodes its payload.
    ///
    /// # Errors
    /// [`Error::NotAuthentic`] if the tag is missing or doesn't match, or [`Error::Decode`].
    pub fn open_datagram<T: DeserializeOwned>(&self, datagram: &[u8]) -> Result<T> {
        let Some((payload, tag)) = datagram.split_last_chunk::<{ Self::TAG_LEN }>() else {
            return Err(Error::NotAuthentic);
        };
        let mac = self.0.clone().chain_update(payload);
        mac.verify_slice(tag).map_err(|_| Error::NotAuthentic)?;
        postcard::from_bytes(payload).map_err(|source| Error::Decode { source })
    }

    /// Encodes `message` as a datagram and appends its tag.
    ///
    /// # Errors
    /// [`Error::Encode`] if the message cannot be encoded.
    pub fn seal_datagram<T: Serialize>(&self, message: &T) -> Result<Vec<u8>> {
        let mut datagram =
            postcard::to_stdvec(message).map_err(|source| Error::Encode { source })?;
        let tag = self.0.clone().chain_update(&datagram).finalize();
        datagram.extend_from_slice(&tag.into_bytes());
        Ok(datagram)
    }

    /// Returns the MAC of a stream frame before it is finalized, to compute or to verify the tag.
    pub(crate) fn frame_mac(&self, nonce: &Nonce, sequence: u64, payload: &[u8]) -> Hmac<Sha256> {
        let mac = self.0.clone();
        mac.chain_update(nonce.as_bytes())
            .chain_update(sequence.to_be_bytes())
            .chain_update(payload)
    }
}

impl std::fmt::Debug for Secret {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str("Secret(…)")
    }
}
