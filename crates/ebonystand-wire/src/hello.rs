use super::*;

/// First message of a connection, which identifies the VM that opened it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Hello {
    /// Incarnation of the sending VM, which changes when the VM starts without its previous state.
    pub incarnation: Incarnation,
    /// Address on which the sending VM accepts connections from other VMs.
    pub peer: SocketAddr,
    /// Identifier of the sending VM.
    pub vm: VmId,
}
