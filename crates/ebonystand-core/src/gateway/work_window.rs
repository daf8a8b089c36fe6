use super::*;

/// Limit on the work that the VMs of a region keep waiting at one upstream, adapted to how soon its
/// answers begin.
///
/// An upstream accepts more work than it can start in time, and work that waits in it cannot be
/// withdrawn. The limit grows a little with each answer that begins within its target and shrinks
/// by a factor with one that begins too late (additive increase, multiplicative decrease). It
/// covers all VMs of the region: each VM counts the work that the others report beside its own, so
/// a VM that rarely sends has as much room as one that often does.
#[derive(Clone, Debug)]
pub(crate) struct WorkWindow {
    limit: f64,
    last_decrease: Duration,
    used: u64,
}

impl WorkWindow {
    /// Share of its work by which a timely answer raises the limit; it doubles in some tens of
    /// answers, which takes about a second at a usual rate.
    const INCREASE_FACTOR: f64 = 0.15;
    /// Factor applied to the limit after an answer that began too late.
    const DECREASE_FACTOR: f64 = 0.75;

    /// Returns whether `work` more units fit beside those of this VM and `others`. An empty window
    /// fits any amount.
    pub(crate) fn has_room_for(&self, work: u64, others: u64) -> bool {
        let used = self.used + others;
        used == 0 || (used + work) as f64 <= self.limit
    }

    /// Returns the units that fit beside those of this VM and `others`.
    pub(crate) fn free(&self, others: u64) -> u64 {
        (self.limit as u64).saturating_sub(self.used.saturating_add(others))
    }

    /// Releases the units of a request whose answer has begun or never will.
    pub(crate) fn release(&mut self, work: u64) {
        self.used = self.used.saturating_sub(work);
    }

    /// Creates a window with this initial limit.
    pub(crate) fn new(limit: u64) -> Self {
        Self {
            limit: limit as f64,
            last_decrease: Duration::ZERO,
            used: 0,
        }
    }

    /// Adapts the limit to an answer that began `took` after its request of `work` units was sent;
    /// it should begin within `target`. The limit shrinks at most once per `target`, since answers
    /// to requests sent before it shrank say nothing new.
    pub(crate) fn adjust_limit(
        &mut self,
        now: Duration,
        took: Duration,
        target: Duration,
        work: u64,
        others: u64,
    ) {
        if took <= target {
            if (self.used + work + others) as f64 * 2.0 > self.limit {
                self.limit += work as f64 * Self::INCREASE_FACTOR;
            }
            return;
        }
        if now >= self.last_decrease + target {
            self.last_decrease = now;
            self.limit = (self.limit * Self::DECREASE_FACTOR).max(work as f64);
        }
    }

    /// Reserves the units of a request that is sent.
    pub(crate) fn reserve(&mut self, work: u64) {
        self.used += work;
    }

    /// Returns the units that fit.
    pub(crate) fn limit(&self) -> f64 {
        self.limit
    }

    /// Returns the units reserved by this VM's requests whose answers have not begun.
    pub(crate) fn used(&self) -> u64 {
        self.used
    }
}
