use super::*;

/// Whether the room of a service is so short that a VM asks for slots.
///
/// Room counts as short for a while after its last sign, so that a VM does not change between the two ways
/// with each report.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlotContention {
    short_until: Duration,
}

impl SlotContention {
    /// Share of the slots or work windows in use, in permille, from which room counts as short. VMs hear of
    /// one another's requests late; beyond this share, some engines are full before others know.
    pub const SHORT_PERMILLE: u32 = 400;
    /// Time for which room counts as short after its last sign.
    pub const HOLD: Duration = Duration::from_secs(1);

    /// Records that a request of this VM found no room.
    pub fn record_no_room(&mut self, now: Duration) {
        self.short_until = now + Self::HOLD;
    }

    /// Records the known load of the service.
    pub fn record_pressure(&mut self, now: Duration, pressure: SlotPressure) {
        let used = u64::from(pressure.in_flight) * 1_000;
        let is_short = used >= u64::from(pressure.slots) * u64::from(Self::SHORT_PERMILLE);
        if pressure.slots > 0 && (is_short || pressure.window_permille >= Self::SHORT_PERMILLE) {
            self.short_until = now + Self::HOLD;
        }
    }

    /// Returns whether this VM asks for slots.
    #[must_use]
    pub fn is_short(&self, now: Duration) -> bool {
        now < self.short_until
    }
}
