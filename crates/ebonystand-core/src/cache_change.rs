use super::*;

/// Kind of change to a cached prefix.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheChange {
    /// The engine evicted the prefix.
    Evicted,
    /// The engine stored the prefix.
    Stored,
}
