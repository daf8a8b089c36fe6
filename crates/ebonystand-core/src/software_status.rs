use super::*;

/// Software version of a service, as one VM's list of upstreams shows it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct SoftwareStatus {
    /// Upstreams of the version that leave.
    pub leaving: u32,
    /// Upstreams of the version on the list, those that leave included.
    pub listed: u32,
    /// Name of the service.
    pub service: ServiceId,
    /// Software version; empty if the list does not name it.
    pub software: SoftwareVersion,
    /// Whether streams that may be taken up again begin at the version. They don't until all VMs can know it.
    pub takes_streams: bool,
}
