use super::*;

/// VM that callers may send requests to, as the membership knows it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EntryVm {
    /// Address where the VM listens for callers.
    pub address: SocketAddr,
    /// Name of the VM.
    pub id: VmId,
    /// Whether the VM takes no new requests.
    pub leaving: bool,
    /// Region and availability zone of the VM.
    pub place: Place,
}
