use super::*;

/// Millionth of a token, the unit of balances and rates. Small shares of a rate would round to 0 in
/// whole tokens.
pub type MicroTokens = u64;

/// Rate and capacity of one VM's part of a workspace's allowance. Over the fleet, including leases
/// in transit, the parts of a workspace add up to at most its rate and burst.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct AllowancePart {
    /// Largest balance, in micro-tokens.
    pub capacity: MicroTokens,
    /// Rate at which tokens accrue, in micro-tokens per second.
    pub rate: MicroTokens,
}

impl AllowancePart {
    /// Largest tolerated clock error, in millionths. Rates are reduced by it, so that a VM whose
    /// clock runs fast by that much stays within the workspace's rate.
    pub const CLOCK_DRIFT_PPM: u64 = 500;

    /// Part without rate and capacity.
    pub(crate) const ZERO: Self = Self {
        capacity: 0,
        rate: 0,
    };

    /// Number of micro-tokens in a token.
    pub(crate) const SCALE: u64 = 1_000_000;

    /// Smaller value of each component.
    pub(crate) fn min(self, other: Self) -> Self {
        Self {
            capacity: self.capacity.min(other.capacity),
            rate: self.rate.min(other.rate),
        }
    }

    /// Larger value of each component.
    pub(crate) fn max(self, other: Self) -> Self {
        Self {
            capacity: self.capacity.max(other.capacity),
            rate: self.rate.max(other.rate),
        }
    }

    /// Half of rate and capacity.
    pub(crate) fn half(self) -> Self {
        Self {
            capacity: self.capacity / 2,
            rate: self.rate / 2,
        }
    }

    /// Sum of each component, saturating at the largest value.
    pub(crate) fn saturating_add(self, other: Self) -> Self {
        Self {
            capacity: self.capacity.saturating_add(other.capacity),
            rate: self.rate.saturating_add(other.rate),
        }
    }

    /// Micro-tokens that accrue during `time`, rounded down.
    pub(crate) fn accrual(self, time: Duration) -> MicroTokens {
        let gained = u128::from(self.rate) * time.as_nanos() / 1_000_000_000;
        u64::try_from(gained).unwrap_or(u64::MAX)
    }

    /// Difference of each component, saturating at 0.
    pub(crate) fn saturating_sub(self, other: Self) -> Self {
        Self {
            capacity: self.capacity.saturating_sub(other.capacity),
            rate: self.rate.saturating_sub(other.rate),
        }
    }

    /// Part number `index` of `count` equal parts that add up to this one. Each part grows with the
    /// total, so that VMs that know different rates and bursts together hold no more than the
    /// larger rate and burst.
    pub(crate) fn split(self, index: u64, count: u64) -> Self {
        let part = |whole: u64| whole / count + u64::from(index < whole % count);
        Self {
            capacity: part(self.capacity),
            rate: part(self.rate),
        }
    }

    /// Total allowance of a workspace over the fleet, with the rate reduced by
    /// [`Self::CLOCK_DRIFT_PPM`].
    pub(crate) fn total_of(workspace: &Workspace) -> Self {
        let rate = workspace.rate.saturating_mul(Self::SCALE);
        Self {
            capacity: workspace.burst.saturating_mul(Self::SCALE),
            rate: rate - rate / Self::SCALE * Self::CLOCK_DRIFT_PPM,
        }
    }
}
