use super::*;

/// Upstream that a routing decision considered, as logged.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[display("{upstream}:{}/{}", predicted.as_millis(), score.as_millis())]
pub struct RouteCandidate {
    /// Predicted time to first token.
    pub predicted: Duration,
    /// Sum of predicted time, weighted cost and random part. The lowest score is the best.
    pub score: Duration,
    /// Id of the upstream.
    pub upstream: UpstreamId,
}
