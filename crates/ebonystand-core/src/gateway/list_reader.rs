use super::*;

/// Which VM of a region reads the list of upstreams, for all of them.
///
/// Reading costs its server, whose rate is for the whole fleet. So the first VM of a region by name
/// reads it and passes it on; one that hears nothing of it for some turns reads it itself, whatever
/// the reason: the reader may be frozen, cut off or without a way to the list.
#[derive(Clone, Debug)]
pub struct ListReader {
    every: Duration,
    heard: Option<Duration>,
}

impl ListReader {
    /// Turns without a word after which a VM reads the list itself.
    const SILENT_TURNS: u32 = 3;

    /// Whether this VM reads the list now. `others` are the live VMs of its region that could.
    #[must_use]
    pub fn reads(&self, now: Duration, own: &VmId, others: &[VmId]) -> bool {
        let is_first = others.iter().all(|other| own <= other);
        let silence = self.every * Self::SILENT_TURNS;
        let hears = self
            .heard
            .is_some_and(|heard| now.saturating_sub(heard) < silence);
        is_first || !hears
    }

    /// Notes that a VM that reads the list has passed it on.
    pub fn heard(&mut self, now: Duration) {
        self.heard = Some(now);
    }

    /// A VM that has heard nothing yet; the list is read every `every`.
    #[must_use]
    pub fn new(every: Duration) -> Self {
        Self { every, heard: None }
    }
}
