use super::*;

/// Answer to `POST /v1/operator/drain`, given once the VM has left the entry list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DrainStatus {
    /// Number of open requests that the VM finishes before it stops.
    pub in_flight: u64,
    /// Name of the VM that drains.
    pub vm: VmId,
}
