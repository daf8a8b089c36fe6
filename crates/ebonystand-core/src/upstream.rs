use super::*;

/// Server that the gateway sends requests to: a model engine or a server of a plain service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// Address where the upstream listens for HTTP.
    pub address: SocketAddr,
    /// Cost of a thousand tokens or of one call, in a unit chosen by the operators.
    pub cost: u64,
    /// Whether the upstream refuses an order whose fencing token is lower than one it has seen.
    pub enforces_fencing: bool,
    /// Models or service that the upstream serves.
    pub kind: UpstreamKind,
    /// Whether the upstream finishes its open requests and gets no new ones.
    pub leaving: bool,
    /// Region of the upstream.
    pub region: RegionId,
    /// Capacity in generated tokens per second, or in calls per second for a plain service.
    pub speed: u64,
    /// Availability zone of the upstream.
    pub zone: ZoneId,
}
