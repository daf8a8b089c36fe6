/// Marker by which a complete answer is recognised.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StreamFraming {
    /// End of the HTTP body: the client library reports a clean end only for a complete body.
    Body,
    /// Event `data: [DONE]` of a server-sent event stream. HTTP framing is not enough: an engine
    /// that dies behind a proxy, or a body that ends with its connection, appears to end cleanly.
    Events,
}
