use super::*;

/// Routing decision for one request, with the fields of its log line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// Address that the upstream listens on.
    pub address: SocketAddr,
    /// The best upstreams that were considered, in ascending order of score; at most
    /// [`Route::MAX_LOGGED_CANDIDATES`].
    pub candidates: Vec<RouteCandidate>,
    /// Cost of a thousand tokens, or of one call, at the upstream.
    pub cost: u64,
    /// Predicted time to first token.
    pub predicted: Duration,
    /// Predicted time to the end of an answer with all tokens that the request allows.
    pub predicted_end: Duration,
    /// Reason for the choice of the upstream.
    pub reason: RouteReason,
    /// Region of the upstream.
    pub region: RegionId,
    /// Id of the chosen upstream.
    pub upstream: UpstreamId,
    /// Work in generated tokens, to be passed to [`Router::record_dispatch`].
    pub work: Tokens,
}

impl Route {
    /// Largest number of candidates in a decision's log line.
    pub const MAX_LOGGED_CANDIDATES: usize = 4;
}

impl std::fmt::Display for Route {
    /// Formats the decision for its log line, without the fields of the request.
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        let predicted = self.predicted.as_millis();
        write!(
            f,
            "upstream={} region={} reason={} predicted_ms={predicted} candidates=",
            self.upstream, self.region, self.reason
        )?;
        for (n, candidate) in self.candidates.iter().enumerate() {
            let separator = if n == 0 { "" } else { "," };
            write!(f, "{separator}{candidate}")?;
        }
        Ok(())
    }
}
