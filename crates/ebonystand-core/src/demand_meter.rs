use super::*;

/// Sliding-window meter of the tokens that callers request, admitted or not.
#[derive(Debug, Default)]
pub(crate) struct DemandMeter {
    /// Micro-tokens requested in the current window.
    current: MicroTokens,
    /// Micro-tokens requested in the window before.
    previous: MicroTokens,
    /// Start of the current window.
    window_started: Duration,
}

impl DemandMeter {
    /// Length of a window.
    const WINDOW: Duration = Duration::from_secs(2);

    /// Records a request for `tokens` micro-tokens.
    pub(crate) fn record(&mut self, now: Duration, tokens: MicroTokens) {
        self.roll_window(now);
        self.current = self.current.saturating_add(tokens);
    }

    /// Demand over the last [`Self::WINDOW`], in micro-tokens per second. The share of it that lies
    /// before the current window is estimated from the previous one.
    pub(crate) fn rate(&mut self, now: Duration) -> MicroTokens {
        self.roll_window(now);
        let uncovered = Self::WINDOW.saturating_sub(now.saturating_sub(self.window_started));
        let from_previous = mul_div(
            self.previous,
            uncovered.as_micros() as u64,
            Self::WINDOW.as_micros() as u64,
        );
        (from_previous + self.current) / Self::WINDOW.as_secs()
    }

    /// Starts a new window if the current one has ended.
    fn roll_window(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.window_started);
        if elapsed < Self::WINDOW {
            return;
        }
        self.previous = if elapsed < Self::WINDOW * 2 {
            self.current
        } else {
            0
        };
        self.current = 0;
        self.window_started = now;
    }
}
