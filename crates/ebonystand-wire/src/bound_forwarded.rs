use super::*;

/// Header value that accompanies a forwarded request that takes a stream up again.
///
/// It has a header of its own, so that a VM that does not know of software versions declines the request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BoundForwarded {
    /// Metadata of each forwarded request.
    pub forwarded: Forwarded,
    /// Software version of the service that must go on with the stream.
    pub software: SoftwareVersion,
}

impl BoundForwarded {
    /// Authenticates and decodes the hexadecimal text of the header.
    ///
    /// # Errors
    /// [`Error::NotAuthentic`] if `text` isn't hexadecimal or its tag doesn't match `secret`, or
    /// [`Error::Decode`].
    pub fn from_header(secret: &Secret, text: &str) -> Result<Self> {
        let bytes = hex::decode(text).map_err(|_| Error::NotAuthentic)?;
        secret.open_datagram(&bytes)
    }

    /// Encodes the value as the hexadecimal text of the header, with an authentication tag under the
    /// fleet's secret.
    ///
    /// # Errors
    /// [`Error::Encode`] if the value cannot be encoded.
    pub fn to_header(&self, secret: &Secret) -> Result<String> {
        Ok(hex::encode(secret.seal_datagram(self)?))
    }
}
