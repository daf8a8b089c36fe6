use super::*;

/// How much work the VMs of a region keep waiting at one upstream, found by what its answers take.
///
/// An upstream takes more than it can begin in time, and what waits in it cannot be taken back. A VM
/// widens its window a little with each answer that began well within its aim and narrows it by a part
/// with one that began too late (additive increase, multiplicative decrease). The window is for all
/// VMs of the region: each counts what the others have told beside its own, so that one that sends
/// seldom has as much room as one that sends often.
#[derive(Clone, Debug)]
pub(crate) struct Window {
    limit: f64,
    narrowed: Duration,
    used: u64,
}

impl Window {
    /// Part of its work by which an answer in time widens the window: it doubles in some tens of
    /// answers, a second at a usual rate.
    const WIDEN: f64 = 0.15;
    /// Part of the window that is left after an answer that began too late.
    const NARROW: f64 = 0.75;

    /// Whether more work fits. Some work always fits an empty window, however large it is.
    pub(crate) fn fits(&self, work: u64, others: u64) -> bool {
        let used = self.used + others;
        used == 0 || (used + work) as f64 <= self.limit
    }

    pub(crate) fn give(&mut self, work: u64) {
        self.used = self.used.saturating_sub(work);
    }

    pub(crate) fn new(limit: u64) -> Self {
        Self {
            limit: limit as f64,
            narrowed: Duration::ZERO,
            used: 0,
        }
    }

    /// Notes that work began `took` after it was sent, `target` being in time. The window narrows
    /// once in that time at most, since answers to what was sent before it narrowed say no more.
    pub(crate) fn observe(
        &mut self,
        now: Duration,
        took: Duration,
        target: Duration,
        work: u64,
        others: u64,
    ) {
        if took <= target {
            if (self.used + work + others) as f64 * 2.0 > self.limit {
                self.limit += work as f64 * Self::WIDEN;
            }
            return;
        }
        if now >= self.narrowed + target {
            self.narrowed = now;
            self.limit = (self.limit * Self::NARROW).max(work as f64);
        }
    }

    pub(crate) fn take(&mut self, work: u64) {
        self.used += work;
    }

    /// Work that has not begun.
    pub(crate) fn used(&self) -> u64 {
        self.used
    }
}
