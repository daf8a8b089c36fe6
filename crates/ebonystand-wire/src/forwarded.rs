use super::*;

/// What goes in a header with a request that a VM forwards to a VM of another region, which sends
/// it to an upstream there and never on to another VM.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Forwarded {
    /// Time to the first byte that is aimed at, in milliseconds.
    pub aim_ms: u64,
    /// Regions that may serve it; `None` if all may.
    pub homes: Option<BTreeSet<RegionId>>,
    /// Time left for it, in milliseconds.
    pub left_ms: u64,
    /// What it says of its prompt.
    pub prompt: Option<Prompt>,
    /// Rank, 0 being the first.
    pub rank: u8,
    /// Its name, equal at the caller, both VMs and the upstream.
    pub request: Box<str>,
    /// Service that serves it.
    pub service: ServiceId,
    /// Workspace that it runs for.
    pub workspace: Option<WorkspaceId>,
}

impl Forwarded {
    /// Decodes and checks the text of a header.
    ///
    /// # Errors
    /// [`Error::Authentic`] if a stranger made it, or [`Error::Decode`].
    pub fn from_header(secret: &Secret, text: &str) -> Result<Self> {
        let bytes = hex::decode(text).map_err(|_| Error::Authentic)?;
        secret.open_datagram(&bytes)
    }

    /// Text of a header, with a tag that shows that a VM of the fleet made it.
    ///
    /// # Errors
    /// [`Error::Encode`].
    pub fn to_header(&self, secret: &Secret) -> Result<String> {
        Ok(hex::encode(secret.seal_datagram(self)?))
    }
}
