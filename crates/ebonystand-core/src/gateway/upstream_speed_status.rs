use super::*;

/// Speed of an upstream as one VM knows it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct UpstreamSpeedStatus {
    /// Recent prompts of all VMs that the reading speed rests on; 0 if this VM knows only its own.
    pub learned_from: u8,
    /// Prompt tokens that the upstream usually reads per millisecond.
    pub reading_speed: f64,
    /// Time that work takes at the upstream now, in percent of the usual time, if a recent answer
    /// tells it.
    pub time_percent: Option<u16>,
    /// Instance of the upstream.
    pub upstream: UpstreamId,
}
