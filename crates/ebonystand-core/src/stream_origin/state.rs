use super::*;

/// Service and software version of the upstream that sent the first event of a stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StreamOrigin {
    /// Service of the upstream.
    pub service: ServiceId,
    /// Software version of the upstream.
    pub software: SoftwareVersion,
}

impl StreamOrigin {
    /// Longest time after its begin for which a stream can be taken up again. Within it, the caller's
    /// deadline counts.
    ///
    /// A VM without a record of a stream doesn't know the deadline that the stream began with. It concludes an
    /// origin only if all streams of this age have the same one.
    pub const MAX_STREAM_AGE: Duration = Duration::from_secs(600);
}
