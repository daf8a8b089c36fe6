use super::*;
use settings_reader::SettingsReader;

/// Bounds that keep one VM's memory and time finite.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Largest body of a request or of an answer that is not streamed, in bytes.
    pub body_bytes: usize,
    /// Longest time for a caller to send its body.
    pub body_timeout: Duration,
    /// Time after the order to stop from which a stream is begun only if it is certain to end before the VM. Earlier
    /// ones are begun if almost all such streams end in time.
    pub certain_after: Duration,
    /// Longest time for callers to take the last answers when the VM stops.
    pub close: Duration,
    /// Most connections of callers at once.
    pub connections: usize,
    /// Longest time that requests which run may take to end when the VM stops.
    pub drain: Duration,
    /// Whether the process is killed at a known time after the order to stop.
    pub has_grace: bool,
    /// Longest time for a caller to send a request's head.
    pub head_timeout: Duration,
    /// Time for which a leaving VM serves on; longer than an entry list that names it is valid.
    pub linger: Duration,
    /// Most requests at once.
    pub requests: usize,
}

impl Limits {
    /// Part of `grace_ms`, the time between the order to stop and the kill, for which a leaving VM
    /// serves on. Short: what it takes last has the least time left, and a VM that is back soon leaves
    /// its region less often without any, when all of them are stopped in turn.
    const LINGER_PERMILLE: u32 = 250;
    /// Part of it in which what runs may then end.
    const DRAIN_PERMILLE: u32 = 700;
    /// Part of it in which callers may then take the last answers.
    const CLOSE_PERMILLE: u32 = 30;
    /// Longest time for callers to take the last answers, where `grace_ms` does not say how soon the kill comes.
    const DEFAULT_CLOSE: Duration = Duration::from_millis(500);
    /// Time from the end of a process until its successor takes callers.
    const START_TIME: Duration = Duration::from_secs(1);

    /// Time that a VM which is stopped is usually away, until it has been started again and takes callers.
    pub(crate) fn usual_absence(&self) -> Duration {
        self.linger + self.drain + self.close + Self::START_TIME
    }

    pub(crate) fn read(reader: &mut SettingsReader) -> Self {
        let millis = Duration::from_millis;
        let drain_ms = reader.ranged("drain_ms", 120_000, 0, 3_600_000);
        let linger_ms = reader.ranged("linger_ms", 12_000, 0, 600_000);
        let grace = millis(reader.ranged("grace_ms", 0, 0, 3_600_000));
        let parts = (!grace.is_zero()).then_some(grace);
        let linger = parts.map(|grace| grace * Self::LINGER_PERMILLE / 1_000);
        let drain = parts.map(|grace| grace * Self::DRAIN_PERMILLE / 1_000);
        let close = parts.map(|grace| grace * Self::CLOSE_PERMILLE / 1_000);
        Self {
            body_bytes: reader.ranged("body_bytes", 4 << 20, 1 << 10, 64 << 20) as usize,
            body_timeout: millis(reader.ranged("body_timeout_ms", 30_000, 100, 600_000)),
            certain_after: millis(reader.ranged("certain_after_ms", 2_500, 0, 3_600_000)),
            close: close.unwrap_or(Self::DEFAULT_CLOSE),
            connections: reader.ranged("connections", 16_384, 16, 1 << 20) as usize,
            drain: drain.unwrap_or(millis(drain_ms)),
            has_grace: parts.is_some(),
            head_timeout: millis(reader.ranged("head_timeout_ms", 5_000, 100, 60_000)),
            linger: linger.unwrap_or(millis(linger_ms)),
            requests: reader.ranged("requests", 8_192, 1, 1 << 20) as usize,
        }
    }
}
