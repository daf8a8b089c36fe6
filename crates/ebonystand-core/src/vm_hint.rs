use super::*;

/// Entry of the platform's list of VMs. The list lags, so an entry can add an address to contact or
/// stop new work for a VM, but never removes a VM.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VmHint {
    /// Whether the platform is about to remove the VM.
    pub leaving: bool,
    /// Address where the VM listens for other VMs.
    pub peer: SocketAddr,
    /// Name of the VM.
    pub vm: VmId,
}
