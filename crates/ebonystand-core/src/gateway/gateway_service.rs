use super::*;

/// A service that routes send requests to.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct GatewayService {
    /// What its upstreams bear while they are cold.
    pub cold: ColdTerms,
    /// Connections that one upstream takes from all VMs together.
    pub connections: u64,
    /// What its upstreams keep of prompts, if they are model engines; none for a plain service.
    pub engine: Option<EngineTerms>,
    /// Path of the health check.
    pub health_path: Box<str>,
    /// Name.
    pub name: ServiceId,
}
