use super::*;

/// Upstream that a routing decision considers, with its predicted time and its score.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ScoredUpstream {
    /// Predicted time to first token in milliseconds, by which a request is refused or sent to
    /// another region. It assumes fewer requests of other VMs since the upstream's last report than
    /// `predicted_ms` does, see [`FleetLoadFactor::cautious_factor`].
    pub(crate) cautious_ms: f64,
    /// Cost of the upstream in milliseconds, weighted by the preset.
    pub(crate) cost_ms: f64,
    /// Index of the upstream in the [`UpstreamIndex`].
    pub(crate) index: u32,
    /// Whether the upstream is in the VM's own region.
    pub(crate) is_local: bool,
    /// Random part of the score in milliseconds. Without it, all VMs see the same reports and send
    /// their next requests to the same upstream before a report shows it.
    pub(crate) jitter_ms: f64,
    /// Predicted time to first token in milliseconds. The requests that the whole fleet has sent
    /// since the upstream's last report are estimated with [`FleetLoadFactor::factor`].
    pub(crate) predicted_ms: f64,
    pub(crate) reason: RouteReason,
}

impl ScoredUpstream {
    /// The candidate with the lowest score, and the first one among equals.
    pub(crate) fn best<'a>(candidates: impl Iterator<Item = &'a Self>) -> Option<&'a Self> {
        candidates.min_by(|a, b| a.score_ms().total_cmp(&b.score_ms()))
    }

    /// The candidate to use: the best one in the own region, unless another region's best is better
    /// by more than `min_gain_ms`.
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

    /// Sum of predicted time, weighted cost and random part in milliseconds. The lowest score is
    /// the best.
    pub(crate) fn score_ms(&self) -> f64 {
        self.predicted_ms + self.cost_ms + self.jitter_ms
    }

    /// Gain in milliseconds from using `away` instead of this upstream.
    fn gain_ms(&self, away: &Self) -> f64 {
        self.cautious_ms + self.cost_ms - away.predicted_ms - away.cost_ms
    }
}
