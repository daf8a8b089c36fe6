use super::*;

/// Batch of protocol steps that one VM sends to another.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct AllowanceMessage {
    /// Protocol steps in the order in which they were queued.
    pub items: Vec<AllowanceItem>,
}
