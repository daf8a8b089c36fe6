use super::*;

/// Status of a VM as another VM sees it, shown to operators.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VmStatus {
    /// Amount of callers' work that the VM can carry at present, in thousandths of the reference VM.
    pub capacity: VmCapacity,
    /// Health of the VM.
    pub health: VmHealth,
    /// Address where the VM listens for callers and operators.
    pub http: SocketAddr,
    /// Number that grows with each start of the VM.
    pub incarnation: Incarnation,
    /// Whether the VM takes no new work.
    pub leaving: bool,
    /// Address where the VM listens for other VMs.
    pub peer: SocketAddr,
    /// Region of the VM.
    pub region: RegionId,
    /// Version of the configuration in force on the VM when it was last heard from.
    pub version: Version,
    /// Name of the VM.
    pub vm: VmId,
    /// Availability zone of the VM.
    pub zone: ZoneId,
}
