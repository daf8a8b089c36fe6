use super::*;
use ebonystand_core::Prompt;

/// Head of a request, decoded.
#[derive(Clone, Debug)]
pub struct CallHead {
    /// Time that the caller will wait, if it says so.
    pub deadline: Option<Duration>,
    /// What goes on to the upstream: neither what concerns one connection only, nor the key, nor
    /// what the gateway itself says to upstreams.
    pub headers: HeaderMap,
    /// Host that the caller names.
    pub host: Box<str>,
    /// Hash of the key's secret.
    pub key: Option<KeyHash>,
    /// What the request says of its prompt.
    pub prompt: Option<Prompt>,
    /// Name of the request.
    pub request: Box<str>,
}
