use super::*;

/// Service and software version of the upstream that sent the first event of a stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StreamOrigin {
    /// Service of the upstream.
    pub service: ServiceId,
    /// Software version of the upstream.
    pub software: SoftwareVersion,
}
