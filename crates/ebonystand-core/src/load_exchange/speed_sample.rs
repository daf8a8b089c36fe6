use super::*;

/// Reading speed of an engine by one prompt, as VMs of the region tell one another.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SpeedSample {
    /// Speed.
    pub speed: ReadingSpeed,
    /// Engine that read the prompt.
    pub upstream: UpstreamKey,
}
