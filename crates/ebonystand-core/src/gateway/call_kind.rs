use super::*;

/// How often a call may run, and what its answer looks like.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CallKind {
    /// It may run more than once.
    #[display("idempotent")]
    Idempotent,
    /// It runs at most once for each try of its caller.
    #[display("once")]
    Once,
    /// Its answer is a stream of events. It runs at most once unless its route is resumable.
    #[display("stream")]
    Stream,
}
