use super::*;

/// Execution guarantee of a route's calls and the form of their answers.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CallKind {
    /// The call may run more than once.
    #[display("idempotent")]
    Idempotent,
    /// The call runs at most once for each request of its caller.
    #[display("once")]
    Once,
    /// The answer is a stream of events. The call runs at most once unless its route is resumable.
    #[display("stream")]
    Stream,
}
