use super::*;

/// Bandwidth budget of one VM on the link from its region to another. It is a token bucket in bytes
/// that holds one second of the VM's share of the link. Less urgent traffic classes must leave part
/// of it unused.
///
/// Without these reserves a snapshot or a KV cache would fill a link of a hundred megabits per
/// second and delay the heartbeats behind it, so that the region would count as lost.
#[derive(Clone, Debug)]
pub struct LinkBudget {
    /// This VM's share of the bandwidth, in bytes per second.
    bytes_per_s: f64,
    delay: Duration,
    /// Bytes available at `updated`; negative after unconditional traffic.
    level: f64,
    updated: Duration,
}

impl LinkBudget {
    /// Bytes per second in one megabit per second.
    const BYTES_PER_MEGABIT: f64 = 125_000.0;

    /// Creates a full budget for one of `vms` VMs that share the link equally.
    #[must_use]
    pub fn new(now: Duration, link: &Link, vms: u32) -> Self {
        let megabits = link.megabits as f64;
        let bytes_per_s = (megabits * Self::BYTES_PER_MEGABIT / f64::from(vms.max(1))).max(1.0);
        Self {
            bytes_per_s,
            delay: link.delay(),
            level: bytes_per_s,
            updated: now,
        }
    }

    /// Charges bytes that are sent unconditionally: control traffic and admitted requests. The
    /// resulting deficit prolongs [`Self::time_until_available`], by at most a second.
    pub fn charge(&mut self, now: Duration, bytes: u64) {
        self.level = (self.level_at(now) - bytes as f64).max(-self.bytes_per_s);
        self.updated = now;
    }

    /// One-way delay of the link.
    #[must_use]
    pub fn delay(&self) -> Duration {
        self.delay
    }

    /// Whether the other budget has the same bandwidth share and delay.
    pub(crate) fn has_same_link(&self, other: &Self) -> bool {
        self.bytes_per_s == other.bytes_per_s && self.delay == other.delay
    }

    /// Number of bytes that a traffic class may send now.
    #[must_use]
    pub fn remaining(&self, now: Duration, class: TrafficClass) -> u64 {
        let floor = self.bytes_per_s * class.reserved_permille() as f64 / 1_000.0;
        (self.level_at(now) - floor).max(0.0) as u64
    }

    /// Charges bytes if the class may send them now; otherwise returns false and charges nothing.
    pub fn try_take(&mut self, now: Duration, class: TrafficClass, bytes: u64) -> bool {
        if self.remaining(now, class) < bytes {
            return false;
        }
        self.charge(now, bytes);
        true
    }

    /// Time until the class may send that many bytes.
    #[must_use]
    pub fn time_until_available(&self, now: Duration, class: TrafficClass, bytes: u64) -> Duration {
        let floor = self.bytes_per_s * class.reserved_permille() as f64 / 1_000.0;
        let missing = bytes as f64 + floor - self.level_at(now);
        Duration::from_secs_f64((missing / self.bytes_per_s).max(0.0))
    }

    /// Bytes available at `now`.
    fn level_at(&self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.updated).as_secs_f64();
        (self.level + elapsed * self.bytes_per_s).min(self.bytes_per_s)
    }
}
