use super::*;

/// Room that a region offers to the other regions for a service, until its next report.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct OfferedRoom {
    /// Slots.
    pub slots: u32,
    /// Prompt tokens that the engines can read; 0 for a plain service.
    pub tokens: Tokens,
}
