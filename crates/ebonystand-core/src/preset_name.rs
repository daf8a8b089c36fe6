use super::*;

/// Name of a preset, by the situation that it is meant for.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Deserialize,
    Display,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum PresetName {
    /// Upstreams are under maintenance.
    #[display("maintenance")]
    Maintenance,
    /// Traffic is ordinary.
    #[default]
    #[display("ordinary")]
    Ordinary,
    /// Traffic is at its peak.
    #[display("peak")]
    Peak,
}
