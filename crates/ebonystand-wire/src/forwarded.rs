use super::*;

/// Header value that accompanies a request forwarded to a VM of another region.
///
/// The receiving VM sends the request to an upstream of its own region and never forwards it again.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Forwarded {
    /// Target time to the first byte of the answer, in milliseconds.
    pub aim_ms: u64,
    /// Regions that may serve the request; `None` if all may.
    pub homes: Option<BTreeSet<RegionId>>,
    /// Time until the request's deadline, in milliseconds.
    pub left_ms: u64,
    /// Length, model and parts of the request's prompt; `None` if the request has no prompt.
    pub prompt: Option<Prompt>,
    /// Priority rank of the request; 0 is served first.
    pub rank: u8,
    /// Region of the VM that forwards the request.
    pub region: RegionId,
    /// Request identifier, the same at the caller, both VMs and the upstream.
    pub request: Box<str>,
    /// Service that the request is routed to.
    pub service: ServiceId,
    /// Workspace that the request belongs to; `None` if it has none.
    pub workspace: Option<WorkspaceId>,
}

impl Forwarded {
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
