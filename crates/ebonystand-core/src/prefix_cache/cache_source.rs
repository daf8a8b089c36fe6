use super::*;

/// Engine from which another one imports what it keeps of a prompt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CacheSource {
    /// Where it listens.
    pub address: SocketAddr,
    /// The engine.
    pub instance: UpstreamId,
    /// Tokens that it keeps and the importing engine is not known to.
    pub tokens: Tokens,
}
