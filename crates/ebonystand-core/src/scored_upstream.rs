use super::*;

/// An upstream that a decision weighs, with its prediction.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ScoredUpstream {
    /// Predicted time to first token in milliseconds, with the cautious estimate of what the
    /// fleet has sent since the last report.
    pub(crate) cautious_ms: f64,
    /// Weighted cost in milliseconds.
    pub(crate) cost_ms: f64,
    pub(crate) index: u32,
    pub(crate) is_local: bool,
    /// Random part of the score in milliseconds: without it all VMs, which see the same reports,
    /// send their next requests to the same upstream before one of them sees the others'.
    pub(crate) jitter_ms: f64,
    /// Predicted time to first token in milliseconds.
    pub(crate) predicted_ms: f64,
    pub(crate) reason: RouteReason,
}

impl ScoredUpstream {
    /// The pick with the lowest score, an earlier one among equals.
    pub(crate) fn best<'a>(candidates: impl Iterator<Item = &'a Self>) -> Option<&'a Self> {
        candidates.min_by(|a, b| a.score_ms().total_cmp(&b.score_ms()))
    }

    /// The pick to use: the best of the own region unless another is better by more than `gain`
    /// milliseconds.
    pub(crate) fn choose(candidates: &[Self], min_gain_ms: f64) -> Option<Self> {
        let local = Self::best(candidates.iter().filter(|candidate| candidate.is_local));
        let away = Self::best(candidates.iter().filter(|candidate| !candidate.is_local));
        match (local, away) {
            (Some(local), Some(away)) if local.gain_ms(away) > min_gain_ms => Some(Self {
                reason: RouteReason::SentAway,
                ..*away
            }),
            (Some(local), _) => Some(*local),
            (None, Some(away)) => Some(Self {
                reason: RouteReason::NoneInRegion,
                ..*away
            }),
            (None, None) => None,
        }
    }

    /// Predicted time, weighted cost and random part in milliseconds, the lowest being the best.
    pub(crate) fn score_ms(&self) -> f64 {
        self.predicted_ms + self.cost_ms + self.jitter_ms
    }

    /// What using `away` in place of this one would gain in milliseconds.
    fn gain_ms(&self, away: &Self) -> f64 {
        self.cautious_ms + self.cost_ms - away.predicted_ms - away.cost_ms
    }
}
