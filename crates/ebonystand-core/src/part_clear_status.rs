use super::*;

/// Answer to `POST /v1/operator/quarantine/clear-part/{part}`. Prompts with the part are served again on this VM, and the
/// other VMs are being told.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PartClearStatus {
    /// Identifier of the part, in hexadecimal.
    pub part: Box<str>,
}
