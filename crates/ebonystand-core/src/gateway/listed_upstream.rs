use super::*;

/// Entry of the list of running upstreams, which lags behind the servers' actual state.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListedUpstream {
    /// Address on which the upstream listens.
    pub address: SocketAddr,
    /// Remaining time for which the upstream is cold.
    pub cold_for: Duration,
    /// Name of the upstream's instance, which is new with each start of the server.
    pub instance: UpstreamId,
    /// Whether the upstream is draining and gets no new requests.
    pub leaving: bool,
    /// Service that the upstream serves.
    pub service: ServiceId,
    /// Requests that the upstream works on at once.
    pub slots: u32,
    /// Version of the software that the upstream runs.
    pub software: SoftwareVersion,
    /// Availability zone of the upstream.
    pub zone: ZoneId,
}
