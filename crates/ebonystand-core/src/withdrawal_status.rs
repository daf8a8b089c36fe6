use super::*;

/// Answer to `POST /v1/operator/withdraw/{key}`. The key no longer works on this VM, and is being
/// withdrawn on all VMs that this VM reaches.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WithdrawalStatus {
    /// Name of the withdrawn key.
    pub key: KeyId,
    /// Version of the configuration that has the withdrawal; `None` while the log is out of reach,
    /// in which case the VMs keep trying.
    pub version: Option<Version>,
}
