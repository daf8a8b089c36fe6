use super::*;

/// Reading speed of an engine by all that a relay knows, told to VMs that know less.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KnownSpeed {
    /// Samples that the speed rests on.
    pub samples: u8,
    /// Speed.
    pub speed: ReadingSpeed,
    /// Engine.
    pub upstream: UpstreamKey,
}
