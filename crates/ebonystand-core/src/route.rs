use super::*;

/// A routing decision, with what its log line needs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// Where the upstream listens.
    pub address: SocketAddr,
    /// The best of the upstreams that were weighed, best first; at most
    /// [`Route::MAX_LOGGED_CANDIDATES`].
    pub candidates: Vec<RouteCandidate>,
    /// Cost of a thousand tokens or of a call there.
    pub cost: u64,
    /// Predicted time to first token.
    pub predicted: Duration,
    /// Why this one.
    pub reason: RouteReason,
    /// Region of the upstream.
    pub region: RegionId,
    /// The upstream.
    pub upstream: UpstreamId,
    /// Work to pass to [`Router::started`] and [`Router::finished`].
    pub work: Tokens,
}

impl Route {
    /// Candidates that a decision names.
    pub const MAX_LOGGED_CANDIDATES: usize = 4;
}

impl std::fmt::Display for Route {
    /// The decision's log line, without the request's own fields.
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
