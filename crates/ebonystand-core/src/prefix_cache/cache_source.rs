use super::*;

/// Engine from which another one imports a cached prompt prefix.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CacheSource {
    /// Address on which the engine listens.
    pub address: SocketAddr,
    /// Instance of the engine.
    pub instance: UpstreamId,
    /// Number of tokens to import: those that this engine caches and the importing one probably
    /// does not.
    pub tokens: Tokens,
}
