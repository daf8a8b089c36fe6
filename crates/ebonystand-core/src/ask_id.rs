use super::*;

/// Identifier of an ask or a claim, never used again. An answer to an ask that is not open is
/// dropped, so a duplicate, or an answer to an earlier start of the VM, adds no tokens.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct AskId {
    /// Start of the VM that sent the ask or claim.
    pub incarnation: Incarnation,
    /// Number of the ask or claim since the VM's start, larger than that of each earlier one.
    pub sequence: u64,
}
