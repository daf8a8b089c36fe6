use super::*;

/// What a workspace may use over all VMs together.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Quota {
    /// What may be used at once.
    pub burst: u64,
    /// What may be used in a second.
    pub rate: u64,
    /// What is counted.
    pub unit: QuotaUnit,
}

impl Quota {
    /// Part of what is borne beyond the quota that is given out, in permille. The rest is for
    /// requests that are admitted in one window and reach their upstream in the next.
    const GIVEN_PERMILLE: u64 = 500;

    /// The quota with a part of what is borne beyond it in any window: shares that lie on other VMs
    /// cannot be used at once, and without it requests within the quota would be refused.
    #[must_use]
    pub fn with_overage(self, window: Duration, permille: u64, slack: u64) -> Self {
        let whole = self.rate as f64 * window.as_secs_f64() + self.burst as f64;
        let borne = whole * permille as f64 / 1_000.0 + slack as f64;
        let given = borne * Self::GIVEN_PERMILLE as f64 / 1_000.0;
        Self {
            burst: self.burst.saturating_add(given as u64),
            ..self
        }
    }
}

/// What a [`Quota`] counts.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum QuotaUnit {
    /// Requests.
    Requests,
    /// Tokens of prompt and answer.
    Tokens,
}
