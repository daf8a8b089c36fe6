use super::*;

/// Result of choosing where to send a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TargetChoice {
    /// Send the request to another VM, which chooses an upstream of its region. It is a VM of this
    /// region if this VM has lost its own path to the upstreams.
    Forward {
        /// Predicted time to the first byte in this region, plus the time by which the answer would
        /// end too late; `None` if this region cannot serve the request.
        local_cost: Option<Duration>,
        /// Predicted time to the first byte over the other VM.
        predicted: Duration,
        /// Region of the other VM.
        region: RegionId,
    },
    /// No upstream has room now, though some here or in other regions could serve the request
    /// later.
    NoRoom {
        /// Predicted time to the first byte if the request were sent anyway.
        predicted: Duration,
    },
    /// Send the request to an upstream of the own region.
    Upstream {
        /// Address of the upstream.
        address: SocketAddr,
        /// Number of upstreams that could get the request.
        candidates: u32,
        /// Number of candidates that were compared first.
        compared: u32,
        /// Engine from which the upstream is to import the missing part of the prompt; `None` if it
        /// reads all of that itself.
        import: Option<CacheSource>,
        /// Instance of the upstream.
        instance: UpstreamId,
        /// Whether the upstream has answered recently; false if it is tried during its backoff
        /// because no other one is left.
        is_sound: bool,
        /// Predicted time to the first byte of the answer.
        predicted: Duration,
        /// Age of the load report used for the prediction; `None` if there is no recent report.
        report_age: Option<Duration>,
        /// Software version of the upstream.
        software: SoftwareVersion,
        /// Prompt tokens that the upstream is expected to read, neither cached nor imported.
        unread: Tokens,
    },
    /// No upstream can serve the request now.
    Unavailable {
        /// Counts of the service's upstreams by the reason why they are ineligible.
        reason: IneligibleUpstreams,
        /// Time after which a retry is useful.
        retry_after: Duration,
    },
}
