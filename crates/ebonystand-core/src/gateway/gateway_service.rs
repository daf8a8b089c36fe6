use super::*;

/// Service to which routes send requests, as configured.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct GatewayService {
    /// Load limits of the service's upstreams while they are cold.
    pub cold: ColdTerms,
    /// Connections that one upstream accepts from all VMs together.
    pub connections: u64,
    /// Cache and link of the service's model engines; `None` for a plain service.
    pub engine: Option<EngineSpec>,
    /// HTTP path of the upstreams' health check.
    pub health_path: Box<str>,
    /// Name by which routes and upstreams refer to the service.
    pub name: ServiceId,
}
