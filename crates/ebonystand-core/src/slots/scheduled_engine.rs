use super::*;

/// Engine as a scheduler sees it: its slots, and what the scheduler's own grants and others' requests take.
#[derive(Clone, Debug)]
pub(crate) struct ScheduledEngine {
    /// Requests with a grant.
    granted: u32,
    pub(crate) group: SlotGroup,
    /// Requests with a grant, of the last moments.
    granted_peak: RecentPeak,
    slots: u32,
    /// Unread prompt tokens of the grants, of the last moments.
    unread_peak: RecentPeak,
    window: WorkWindow,
}

impl ScheduledEngine {
    /// Initial size of the work window, in prompt tokens; fits a few typical prompts.
    const INITIAL_WINDOW_TOKENS: u64 = 12_000;

    pub(crate) fn new(group: SlotGroup, slots: u32) -> Self {
        Self {
            granted: 0,
            group,
            granted_peak: RecentPeak::default(),
            slots,
            unread_peak: RecentPeak::default(),
            window: WorkWindow::new(Self::INITIAL_WINDOW_TOKENS),
        }
    }

    pub(crate) fn set_place(&mut self, group: SlotGroup, slots: u32) {
        self.group = group;
        self.slots = slots;
    }

    pub(crate) fn slots(&self) -> u32 {
        self.slots
    }

    /// Returns whether a slot is free. `known` is the load that the region's VMs have reported; the part of
    /// it that this scheduler has not granted takes slots too.
    pub(crate) fn free_slots(&self, now: Duration, known: UnderWay) -> u32 {
        let peak = u32::try_from(self.granted_peak.peak(now)).unwrap_or(u32::MAX);
        let others = known.requests.saturating_sub(peak);
        self.slots
            .saturating_sub(self.granted.saturating_add(others))
    }

    /// Returns whether `unread` more prompt tokens may wait in the engine.
    pub(crate) fn fits(&self, now: Duration, unread: Tokens, known: UnderWay) -> bool {
        let others = known.unread.saturating_sub(self.unread_peak.peak(now));
        self.window.has_room_for(unread, others)
    }

    /// Returns the prompt tokens that wait in the engine.
    pub(crate) fn unread(&self, now: Duration, known: UnderWay) -> Tokens {
        let others = known.unread.saturating_sub(self.unread_peak.peak(now));
        self.window.used() + others
    }

    pub(crate) fn grant(&mut self, now: Duration, unread: Tokens) {
        self.granted += 1;
        self.granted_peak.set(now, u64::from(self.granted));
        self.window.reserve(unread);
        self.unread_peak.set(now, self.window.used());
    }

    /// Records that the answer of a grant has begun, `waited` after the request was sent.
    pub(crate) fn begin(
        &mut self,
        now: Duration,
        grant: &SlotGrant,
        waited: Duration,
        known: UnderWay,
    ) {
        let others = known.unread.saturating_sub(self.unread_peak.peak(now));
        let target = grant.start_target;
        self.window
            .adjust_limit(now, waited, target, grant.unread, others);
        self.release_unread(now, grant.unread);
    }

    pub(crate) fn end(&mut self, now: Duration, grant: &SlotGrant) {
        self.granted = self.granted.saturating_sub(1);
        self.granted_peak.set(now, u64::from(self.granted));
        if !grant.has_begun {
            self.release_unread(now, grant.unread);
        }
    }

    fn release_unread(&mut self, now: Duration, unread: Tokens) {
        self.window.release(unread);
        self.unread_peak.set(now, self.window.used());
    }
}
