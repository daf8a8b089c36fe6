use super::*;

/// Metadata that the gateway sends to an upstream with a request.
#[derive(Clone, Copy, Debug)]
pub struct OutgoingCall<'a> {
    /// Address of the engine from which the upstream imports the parts of the prompt that are
    /// missing from its cache.
    pub import_from: Option<SocketAddr>,
    /// Identifier of the upstream instance, one start of a server, that the request is meant for.
    pub instance: &'a str,
    /// Time left until the whole answer is due.
    pub left: Duration,
    /// Priority rank of the request; 0 is served first.
    pub rank: u8,
    /// Whether the request has a prompt. Engines order such requests by rank.
    pub has_prompt: bool,
    /// Identifier of the request.
    pub request: &'a str,
    /// Workspace that the request belongs to; `None` on a public route.
    pub workspace: Option<&'a str>,
}
