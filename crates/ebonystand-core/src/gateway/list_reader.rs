use super::*;

/// Which VM of a region reads the list of upstreams, for all of them.
///
/// Reading costs its server, whose rate is for the whole fleet. So the first VM of a region by name
/// reads it and passes it on; one that hears nothing of it for some turns reads it itself, whatever
/// the reason: the reader may be frozen, cut off or without a way to the list. VMs that start together
/// take a moment to meet, in which each is the first that it knows of.
#[derive(Clone, Debug)]
pub struct ListReader {
    every: Duration,
    /// When it was last passed on to this VM, or when this VM started.
    heard: Duration,
    /// VMs of the region that are known, and since when there are so many.
    known: (usize, Duration),
    started: Duration,
}

impl ListReader {
    /// Least time from the start of a VM until it knows others of its region.
    pub const MEETS_WITHIN: Duration = Duration::from_millis(500);
    /// A VM that starts has met all others once it has met no further one for so long.
    const MEETS_NOBODY_FOR: Duration = Duration::from_millis(300);
    /// Turns without a word after which a VM reads the list itself.
    const SILENT_TURNS: u32 = 3;

    /// Whether this VM has met the others of its region, of which `others` are live, so that it knows who
    /// is the first.
    pub fn has_met(&mut self, now: Duration, others: &[VmId]) -> bool {
        if others.len() > self.known.0 {
            self.known = (others.len(), now);
        }
        let (_, since) = self.known;
        now >= self.started + Self::MEETS_WITHIN && now >= since + Self::MEETS_NOBODY_FOR
    }

    /// Whether this VM reads the list now. `others` are the live VMs of its region that could.
    #[must_use]
    pub fn reads(&self, now: Duration, own: &VmId, others: &[VmId]) -> bool {
        let is_first = others.iter().all(|other| own <= other);
        is_first || self.is_silent(now)
    }

    /// Whether nothing was heard of the list for long, so that nobody is waited for.
    #[must_use]
    pub fn is_silent(&self, now: Duration) -> bool {
        now.saturating_sub(self.heard) >= self.every * Self::SILENT_TURNS
    }

    /// Notes that a VM that reads the list has passed it on.
    pub fn heard(&mut self, now: Duration) {
        self.heard = now;
    }

    /// A VM that starts and has heard nothing yet; the list is read every `every`.
    #[must_use]
    pub fn new(every: Duration, now: Duration) -> Self {
        Self {
            every,
            heard: now,
            known: (0, now),
            started: now,
        }
    }
}
