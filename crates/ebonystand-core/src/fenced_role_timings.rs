use super::*;

/// Times of the lease of an [`FencedRole`]; equal on all VMs.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FencedRoleTimings {
    /// Bound on how far two VMs' clocks drift from true time, in thousandths; below 1,000.
    pub drift_permille: u32,
    /// Time for which a holder orders after it sent the renewal that was last acknowledged.
    pub lease: Duration,
    /// Longest time between the moment an order is checked and the one it takes effect upstream.
    pub order: Duration,
    /// Time between two renewals.
    pub renew: Duration,
}

impl Default for FencedRoleTimings {
    fn default() -> Self {
        Self {
            drift_permille: 10,
            lease: Duration::from_secs(6),
            order: Duration::from_secs(5),
            renew: Duration::from_secs(2),
        }
    }
}

impl FencedRoleTimings {
    /// Wait of a successor, by its own clock, after which no order of its predecessor can still
    /// take effect: the lease and the longest order by a slow clock, measured with a fast one.
    #[must_use]
    pub fn succession_wait(&self) -> Duration {
        let drift = self.drift_permille.min(999);
        (self.lease + self.order) * (1_000 + drift) / (1_000 - drift)
    }
}
