use super::*;

/// Decides which capacity a VM advertises while it is near one of its limits.
///
/// The capacity is halved while the VM is near a limit, and doubled again once it is well below all
/// of them, one step at a time. Each step lasts long enough for callers to have followed it.
#[derive(Clone, Debug, Default)]
pub struct CapacityThrottle {
    changed: Duration,
    halvings: u8,
}

impl CapacityThrottle {
    /// Most times that the capacity is halved; the VM then advertises an eighth of it.
    pub const MAX_HALVINGS: u8 = 3;
    /// Share of a limit in use above which the capacity is halved, in thousandths.
    pub const HIGH_PERMILLE: u64 = 850;
    /// Share of each limit in use below which the capacity is doubled again, in thousandths.
    pub const LOW_PERMILLE: u64 = 600;
    /// Shortest time between two halvings; callers may keep a list for three times its validity.
    const HALVE_INTERVAL: Duration = Duration::from_secs(3);
    /// Shortest time from a step to a doubling.
    const DOUBLE_INTERVAL: Duration = Duration::from_secs(6);

    /// Returns how many times to halve the advertised capacity now, where the fullest of the VM's
    /// limits is in use by `used_permille` thousandths.
    pub fn halvings(&mut self, now: Duration, used_permille: u64) -> u8 {
        let elapsed = now.saturating_sub(self.changed);
        let step_down = used_permille >= Self::HIGH_PERMILLE
            && self.halvings < Self::MAX_HALVINGS
            && (self.halvings == 0 || elapsed >= Self::HALVE_INTERVAL);
        let step_up = used_permille < Self::LOW_PERMILLE
            && self.halvings > 0
            && elapsed >= Self::DOUBLE_INTERVAL;
        if step_down {
            self.halvings += 1;
        }
        if step_up {
            self.halvings -= 1;
        }
        if step_down || step_up {
            self.changed = now;
        }
        self.halvings
    }
}
