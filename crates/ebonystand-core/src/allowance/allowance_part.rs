use super::*;

/// Millionth of a token; balances and rates are kept in it, so that small shares of a rate
/// still add up.
pub type MicroTokens = u64;

/// Share of a workspace's allowance. The parts of one workspace over the fleet, also those in
/// flight, add up to no more than its rate and burst.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct AllowancePart {
    /// Most micro-tokens that may pile up.
    pub capacity: MicroTokens,
    /// Micro-tokens a second.
    pub rate: MicroTokens,
}

impl AllowancePart {
    /// Most that a clock may run fast, in millionths. Rates are cut by it, so that a VM whose
    /// clock is fast by as much still stays within the workspace's rate.
    pub const CLOCK_DRIFT_PPM: u64 = 500;

    /// Nothing.
    pub(crate) const ZERO: Self = Self {
        capacity: 0,
        rate: 0,
    };

    /// Micro-tokens in a token.
    pub(crate) const SCALE: u64 = 1_000_000;

    /// Component by component, the smaller.
    pub(crate) fn min(self, other: Self) -> Self {
        Self {
            capacity: self.capacity.min(other.capacity),
            rate: self.rate.min(other.rate),
        }
    }

    /// Component by component, the larger.
    pub(crate) fn max(self, other: Self) -> Self {
        Self {
            capacity: self.capacity.max(other.capacity),
            rate: self.rate.max(other.rate),
        }
    }

    /// Half of each component.
    pub(crate) fn half(self) -> Self {
        Self {
            capacity: self.capacity / 2,
            rate: self.rate / 2,
        }
    }

    /// Sum.
    pub(crate) fn plus(self, other: Self) -> Self {
        Self {
            capacity: self.capacity.saturating_add(other.capacity),
            rate: self.rate.saturating_add(other.rate),
        }
    }

    /// Micro-tokens that come in during `time`, rounded down.
    pub(crate) fn accrual(self, time: Duration) -> MicroTokens {
        let gained = u128::from(self.rate) * time.as_nanos() / 1_000_000_000;
        u64::try_from(gained).unwrap_or(u64::MAX)
    }

    /// Difference; no component goes below 0.
    pub(crate) fn minus(self, other: Self) -> Self {
        Self {
            capacity: self.capacity.saturating_sub(other.capacity),
            rate: self.rate.saturating_sub(other.rate),
        }
    }

    /// Part `index` of `count` equal parts, which add up to the whole. Each grows with the whole,
    /// so VMs that differ only in their view of rate and burst hold no more than the larger.
    pub(crate) fn split(self, index: u64, count: u64) -> Self {
        let part = |whole: u64| whole / count + u64::from(index < whole % count);
        Self {
            capacity: part(self.capacity),
            rate: part(self.rate),
        }
    }

    /// Allowance of a workspace over the fleet.
    pub(crate) fn whole(workspace: &Workspace) -> Self {
        let rate = workspace.rate.saturating_mul(Self::SCALE);
        Self {
            capacity: workspace.burst.saturating_mul(Self::SCALE),
            rate: rate - rate / Self::SCALE * Self::CLOCK_DRIFT_PPM,
        }
    }
}
