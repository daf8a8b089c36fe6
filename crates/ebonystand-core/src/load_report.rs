use super::*;

/// Load of an upstream as it last reported it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadReport {
    /// Time since the upstream measured its load.
    pub age: Duration,
    /// Work of the waiting requests in generated tokens, see [`RouteQuery::work`]. For a plain
    /// service it is the number of calls.
    pub queued_tokens: Tokens,
    /// Number of requests in the running batch.
    pub running: u32,
    /// Capacity of the batch in requests; 0 if the upstream does not report it.
    pub slots: u32,
    /// Number of requests that wait for a slot in the batch.
    pub waiting: u32,
}
