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
    /// Preset for times when upstreams are under maintenance.
    #[display("maintenance")]
    Maintenance,
    /// Preset for ordinary traffic.
    #[default]
    #[display("ordinary")]
    Ordinary,
    /// Preset for peaks of traffic.
    #[display("peak")]
    Peak,
}
