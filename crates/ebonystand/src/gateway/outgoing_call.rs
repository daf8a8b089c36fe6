use super::*;

/// What the gateway itself says to an upstream with a request.
#[derive(Clone, Copy, Debug)]
pub struct OutgoingCall<'a> {
    /// Engine from which the one that is to answer imports what it lacks of the prompt.
    pub import_from: Option<SocketAddr>,
    /// Start of the server that is to answer.
    pub instance: &'a str,
    /// Time left for it.
    pub left: Duration,
    /// Rank, 0 being the first.
    pub rank: u8,
    /// Whether it has a prompt, which an engine orders by its rank.
    pub has_prompt: bool,
    /// Name of the request.
    pub request: &'a str,
    /// Workspace that it runs for; none on a public route.
    pub workspace: Option<&'a str>,
}
