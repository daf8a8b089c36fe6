use super::*;

/// Lease timings of a [`FencedRole`]. They must be equal on all VMs.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FencedRoleTimings {
    /// Bound on the drift of a VM's clock from true time, in thousandths. It must be below 1,000.
    pub drift_permille: u32,
    /// Duration of the lease, from the time at which the last answered renewal was first sent.
    pub lease: Duration,
    /// Longest time from the check of an order's permit until the order takes effect at the
    /// upstream.
    pub order: Duration,
    /// Interval between two renewals.
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
    /// Time that a new holder waits, by its own clock, until no order of its predecessor can still
    /// take effect. It is the lease and the longest order as a slow clock measures them, converted
    /// to a fast clock.
    #[must_use]
    pub fn succession_wait(&self) -> Duration {
        let drift = self.drift_permille.min(999);
        (self.lease + self.order) * (1_000 + drift) / (1_000 - drift)
    }
}
