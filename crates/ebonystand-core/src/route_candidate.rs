use super::*;

/// An upstream that a routing decision weighed.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[display("{upstream}:{}/{}", predicted.as_millis(), score.as_millis())]
pub struct RouteCandidate {
    /// Predicted time to first token.
    pub predicted: Duration,
    /// Predicted time, weighted cost and a random part, the lowest being the best.
    pub score: Duration,
    /// The upstream.
    pub upstream: UpstreamId,
}
