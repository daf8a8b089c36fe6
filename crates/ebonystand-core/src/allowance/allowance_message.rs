use super::*;

/// Everything that one VM has to say to another about allowances at one moment.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct AllowanceMessage {
    /// In the order in which it came up.
    pub items: Vec<AllowanceItem>,
}
