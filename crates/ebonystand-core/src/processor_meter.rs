use super::*;

/// Measures how much of its processor share a VM uses.
#[derive(Clone, Debug, Default)]
pub struct ProcessorMeter {
    measured: Option<(Duration, Duration)>,
    used_permille: u64,
}

impl ProcessorMeter {
    /// Shortest time over which the use is measured; a single long step then does not fill it.
    pub const WINDOW: Duration = Duration::from_secs(1);

    /// Returns the processor time used in the last window, in thousandths of what `millicores`
    /// thousandths of a core provide in it. `total` is the processor time used since the start.
    pub fn used_permille(&mut self, now: Duration, total: Duration, millicores: u64) -> u64 {
        let Some((at, before)) = self.measured else {
            self.measured = Some((now, total));
            return 0;
        };
        let elapsed = now.saturating_sub(at);
        if elapsed >= Self::WINDOW {
            let used = total.saturating_sub(before).as_micros() as u64;
            let provided = elapsed.as_micros() as u64 * millicores.max(1) / 1_000;
            self.used_permille = used.saturating_mul(1_000) / provided.max(1);
            self.measured = Some((now, total));
        }
        self.used_permille
    }
}
