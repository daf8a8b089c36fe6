use super::*;

/// What to do with an upstream connection after an answer.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum ConnectionAction {
    /// Close the connection: bytes of the old answer may still arrive and would be taken for the
    /// next request's answer.
    #[display("close")]
    Close,
    /// Reuse the connection for another request: the whole answer was read, and nothing beyond it.
    #[display("reuse")]
    Reuse,
}
