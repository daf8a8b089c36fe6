use super::*;

/// One VM's part of the room that another region offers for a service: a token bucket that each report of the region
/// refills.
///
/// The part of a VM is often smaller than one request. Parts are then rounded at random, so that all VMs together
/// send as much as is offered: rounded up, each would send one request at the same moment; added up over several
/// reports, they would do so after a calm period.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct RegionBudget {
    refilled_at: Option<Duration>,
    slots: u64,
    /// Prompt tokens, below 0 after a prompt that was longer than what was left.
    tokens: f64,
}

impl RegionBudget {
    /// Time for which a report offers room. Several VMs of a region report for it, so that its reports may come more
    /// often; each then refills a part.
    pub(crate) const PERIOD: Duration = Duration::from_millis(250);
    /// Size in tokens that a small part of the reading work is rounded to, about a long prompt.
    const ROUNDED_TOKENS: f64 = 8_192.0;

    /// Refills the budget by a report of the time `at` that offers `room` to `vms` VMs. `random` rounds the part of the slots and of
    /// the tokens.
    pub(crate) fn refill(&mut self, at: Duration, room: OfferedRoom, vms: usize, random: u64) {
        let age = self.refilled_at.map(|before| at.saturating_sub(before));
        let fresh = age.map_or(1.0, |age| {
            (age.as_secs_f64() / Self::PERIOD.as_secs_f64()).min(1.0)
        });
        self.refilled_at = Some(at);
        let vms = vms.max(1) as f64;
        let kept = |level: f64, part: f64| level * (1.0 - fresh) + part * fresh;
        let slots = kept(self.slots as f64, f64::from(room.slots) / vms);
        self.slots = round_at_random(slots, random) as u64;
        let part = room.tokens as f64 / vms;
        self.tokens = match self.tokens < 0.0 {
            true => (self.tokens + part * fresh).min(part),
            false => {
                let tokens = kept(self.tokens, part) / Self::ROUNDED_TOKENS;
                // Other bits than those that round the slots.
                round_at_random(tokens, random.rotate_left(32)) * Self::ROUNDED_TOKENS
            }
        };
    }

    /// Returns whether a report came within `lifetime`.
    pub(crate) fn is_fresh(&self, now: Duration, lifetime: Duration) -> bool {
        self.refilled_at
            .is_some_and(|at| now.saturating_sub(at) < lifetime)
    }

    /// Returns whether a request with `work` prompt tokens may be sent.
    pub(crate) fn has_room_for(&self, work: Tokens) -> bool {
        self.slots > 0 && (work == 0 || self.tokens > 0.0)
    }

    /// Records a request with `work` prompt tokens that is sent.
    pub(crate) fn record_sent(&mut self, work: Tokens) {
        self.slots = self.slots.saturating_sub(1);
        self.tokens -= work as f64;
    }

    /// Empties the budget until the next report.
    pub(crate) fn clear(&mut self) {
        self.slots = 0;
        self.tokens = self.tokens.min(0.0);
    }

    /// Returns the number of requests that may still be sent.
    pub(crate) fn slots(&self) -> u64 {
        self.slots
    }
}

/// Rounds up with the probability of the fractional part, so that the expected value stays the same.
fn round_at_random(value: f64, random: u64) -> f64 {
    let threshold = random as f64 / u64::MAX as f64;
    match value.fract() > threshold {
        true => value.ceil(),
        false => value.floor(),
    }
}
