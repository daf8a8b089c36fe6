use super::*;

/// Counts of the requests that a fake upstream has received.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Seen {
    /// Number of requests with an `authorization` header, which the gateway must not pass on.
    pub credentials: u64,
    /// Number of completion requests that ended before the completion was whole, because the caller
    /// disconnected or by a fault of the engine. A [`Registry`] counts none.
    pub cancelled: u64,
    /// Number of requests received, also malformed ones, but not those to the control paths, for the load
    /// report or to unknown paths.
    pub requests: u64,
    /// Number of runs of each request body.
    pub runs: BTreeMap<Box<str>, u64>,
    /// Number of requests of each workspace; `none` for those without one.
    pub workspaces: BTreeMap<Box<str>, u64>,
}

impl Seen {
    /// Counts a request before its body is decoded, so that a malformed one counts too.
    pub(crate) fn record(&mut self, req: &Request, body: &Bytes) {
        let headers = req.headers();
        self.requests += 1;
        if headers.contains_key("authorization") {
            self.credentials += 1;
        }
        let workspace = headers
            .get("x-ebonystand-workspace")
            .and_then(|value| value.to_str().ok())
            .unwrap_or("none");
        *self.workspaces.entry(workspace.into()).or_default() += 1;
        let body = String::from_utf8_lossy(body).into_owned();
        *self.runs.entry(body.into()).or_default() += 1;
    }
}
