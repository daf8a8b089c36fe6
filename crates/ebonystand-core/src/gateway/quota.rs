use super::*;

/// Rate limit of a workspace, over all VMs together.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Quota {
    /// Units that may be used at once, on top of the rate.
    pub burst: u64,
    /// Units that may be used per second.
    pub rate: u64,
    /// Unit in which `burst` and `rate` are counted.
    pub unit: QuotaUnit,
}

impl Quota {
    /// Share of the tolerated overage that is granted in advance, in permille. The rest covers
    /// requests that are admitted in one window and reach their upstream in the next.
    const GRANTED_OVERAGE_PERMILLE: u64 = 500;

    /// Adds a share of the overage that is tolerated per window, which is `permille` of the quota
    /// plus `slack` units, to the burst. Tokens held by other VMs cannot be used at once, so
    /// without it requests within the quota would be refused.
    #[must_use]
    pub fn with_overage(self, window: Duration, permille: u64, slack: u64) -> Self {
        let whole = self.rate as f64 * window.as_secs_f64() + self.burst as f64;
        let borne = whole * permille as f64 / 1_000.0 + slack as f64;
        let given = borne * Self::GRANTED_OVERAGE_PERMILLE as f64 / 1_000.0;
        Self {
            burst: self.burst.saturating_add(given as u64),
            ..self
        }
    }
}

/// Unit that a [`Quota`] counts.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum QuotaUnit {
    /// Number of requests.
    Requests,
    /// Prompt tokens plus the most tokens that the answer may have.
    Tokens,
}
