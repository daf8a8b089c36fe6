use super::*;

/// Budget of one VM on the link from its region to another: a bucket that holds a second of its
/// share of the link, of which the less urgent classes must leave a part.
///
/// Without the parts a snapshot or a KV cache would fill a link of a hundred megabits, and the
/// heartbeats behind it would come too late: the region would count as lost.
#[derive(Clone, Debug)]
pub struct LinkBudget {
    bytes_per_s: f64,
    delay: Duration,
    level: f64,
    updated: Duration,
}

impl LinkBudget {
    /// Bytes a second in a megabit a second.
    const BYTES_PER_MEGABIT: f64 = 125_000.0;

    /// Full budget of one of `vms` that share the link.
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

    /// Counts bytes that are sent whatever the budget says: control and requests that were
    /// admitted. The deficit shows in [`Self::wait`].
    pub fn charge(&mut self, now: Duration, bytes: u64) {
        self.level = (self.level_at(now) - bytes as f64).max(-self.bytes_per_s);
        self.updated = now;
    }

    /// One-way delay of the link.
    #[must_use]
    pub fn delay(&self) -> Duration {
        self.delay
    }

    /// Whether the other budget is of an equal link.
    pub(crate) fn is_alike(&self, other: &Self) -> bool {
        self.bytes_per_s == other.bytes_per_s && self.delay == other.delay
    }

    /// Bytes that the class may send now.
    #[must_use]
    pub fn remaining(&self, now: Duration, class: TrafficClass) -> u64 {
        let floor = self.bytes_per_s * class.reserved_permille() as f64 / 1_000.0;
        (self.level_at(now) - floor).max(0.0) as u64
    }

    /// Takes bytes if the class may send them now; otherwise takes none.
    pub fn try_take(&mut self, now: Duration, class: TrafficClass, bytes: u64) -> bool {
        if self.remaining(now, class) < bytes {
            return false;
        }
        self.charge(now, bytes);
        true
    }

    /// Time until the class may have sent that many bytes.
    #[must_use]
    pub fn wait(&self, now: Duration, class: TrafficClass, bytes: u64) -> Duration {
        let floor = self.bytes_per_s * class.reserved_permille() as f64 / 1_000.0;
        let missing = bytes as f64 + floor - self.level_at(now);
        Duration::from_secs_f64((missing / self.bytes_per_s).max(0.0))
    }

    fn level_at(&self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.updated).as_secs_f64();
        (self.level + elapsed * self.bytes_per_s).min(self.bytes_per_s)
    }
}
