use super::*;

/// An upstream as a list of running servers has it. The list lags behind what runs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListedUpstream {
    /// Where it listens.
    pub address: SocketAddr,
    /// How much longer it stays cold.
    pub cold_for: Duration,
    /// Name of this start of the server.
    pub instance: UpstreamId,
    /// It finishes what it has and gets no new work.
    pub leaving: bool,
    /// Service that it is a server of.
    pub service: ServiceId,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Availability zone it stands in.
    pub zone: ZoneId,
}
