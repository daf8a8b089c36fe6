use super::*;

/// Accepted change of the configuration, with the version that it made.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AcceptedChange {
    /// Change that was applied.
    pub change: Change,
    /// Version of the document after the change.
    pub version: Version,
}
