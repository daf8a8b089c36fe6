use super::*;

/// Whether the slots of a service are so short that a VM asks for them.
///
/// Engines with many slots that are short of reading time alone are not scheduled: how much they can read is known
/// best from their answers. Slots count as short for a while after the last sign, so that a VM does not change
/// between the two ways with each report.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlotContention {
    short_until: Duration,
}

impl SlotContention {
    /// Share of the slots in use, in permille, from which they count as short. VMs hear of
    /// one another's requests late; beyond this share, some engines are full before others know.
    pub const SHORT_PERMILLE: u32 = 400;
    /// Time for which slots count as short after the last sign.
    pub const HOLD: Duration = Duration::from_secs(1);

    /// Records the known load of the service.
    pub fn record_pressure(&mut self, now: Duration, pressure: SlotPressure) {
        let used = u64::from(pressure.in_flight) * 1_000;
        let is_short = used >= u64::from(pressure.slots) * u64::from(Self::SHORT_PERMILLE);
        if pressure.slots > 0 && is_short {
            self.short_until = now + Self::HOLD;
        }
    }

    /// Returns whether this VM asks for slots.
    #[must_use]
    pub fn is_short(&self, now: Duration) -> bool {
        now < self.short_until
    }
}
