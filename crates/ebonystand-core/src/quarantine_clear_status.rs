use super::*;

/// Answer to `POST /v1/operator/quarantine/clear/{fingerprint}`. The request is served again on this
/// VM, and the other VMs are being told.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct QuarantineClearStatus {
    /// Fingerprint of the request.
    pub fingerprint: Box<str>,
}
