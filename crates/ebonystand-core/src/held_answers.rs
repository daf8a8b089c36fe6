use super::*;

/// Decides which answers a VM breaks off because their callers read too slowly.
///
/// It counts the bytes that each connection's caller has not accepted yet. A connection is stalled
/// from the moment that its caller accepts no more until it accepts some.
#[derive(Clone, Debug)]
pub struct HeldAnswers {
    connections: FxHashMap<u64, HeldConnection>,
    limit: u64,
    total: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct HeldConnection {
    bytes: u64,
    /// Whether the rest of the answer waits until the caller accepts bytes.
    is_held_back: bool,
    stalled_since: Option<Duration>,
}

impl HeldAnswers {
    /// Bytes held for one connection from which the rest of the answer waits at its upstream.
    pub const CONNECTION_BYTES: usize = 64 << 10;
    /// Longest time for which an upstream waits for a stalled connection. Upstreams cut off an answer
    /// that remains unread for some seconds, and count it as their own failure.
    pub const MAX_BACK_PRESSURE: Duration = Duration::from_secs(3);
    /// Longest time for which a connection may be stalled.
    pub const MAX_STALL: Duration = Duration::from_secs(30);
    /// Bytes that a VM holds at most if its memory is not configured.
    pub const DEFAULT_LIMIT: u64 = 256 << 20;
    /// Bytes that a VM holds at most, in thousandths of its memory.
    const MEMORY_PERMILLE: u64 = 300;

    /// Creates the account of a VM with this much memory, in bytes.
    #[must_use]
    pub fn new(memory: Option<u64>) -> Self {
        let limit = memory.map(|memory| memory / 1_000 * Self::MEMORY_PERMILLE);
        Self {
            connections: FxHashMap::default(),
            limit: limit.unwrap_or(Self::DEFAULT_LIMIT).max(1),
            total: 0,
        }
    }

    /// Counts bytes to be sent over a connection. Returns the connections to break off: those that
    /// have been stalled longest, until the VM's bound holds without them.
    pub fn add(&mut self, connection: u64, bytes: u64) -> Vec<u64> {
        self.connections.entry(connection).or_default().bytes += bytes;
        self.total += bytes;
        let mut excess = self.total.saturating_sub(self.limit);
        let mut broken = Vec::new();
        if excess == 0 {
            return broken;
        }
        let stalled = self.connections.iter();
        let stalled = stalled.filter_map(|(id, held)| Some((held.stalled_since?, *id, held.bytes)));
        let mut stalled = stalled.collect::<Vec<_>>();
        stalled.sort_unstable();
        for (_, id, bytes) in stalled {
            if excess == 0 {
                break;
            }
            excess = excess.saturating_sub(bytes);
            broken.push(id);
        }
        for id in &broken {
            self.remove(*id);
        }
        broken
    }

    /// Records that the caller has accepted bytes.
    pub fn accept(&mut self, connection: u64, bytes: u64) {
        self.release(connection, bytes);
        if let Some(held) = self.connections.get_mut(&connection) {
            held.stalled_since = None;
        }
    }

    /// Records whether the rest of the answer waits until the caller accepts bytes. The bytes held do
    /// not tell: heads and framing fill a connection's buffer too.
    pub fn set_held_back(&mut self, connection: u64, is_held_back: bool) {
        if let Some(held) = self.connections.get_mut(&connection) {
            held.is_held_back = is_held_back;
        }
    }

    /// Records that bytes of a connection are no longer held.
    pub fn release(&mut self, connection: u64, bytes: u64) {
        if let Some(held) = self.connections.get_mut(&connection) {
            // Framing and heads are accepted without having been counted.
            let bytes = bytes.min(held.bytes);
            held.bytes -= bytes;
            self.total -= bytes;
        }
    }

    /// Records that the caller accepts no more bytes for now.
    pub fn stall(&mut self, now: Duration, connection: u64) {
        let held = self.connections.entry(connection).or_default();
        held.stalled_since.get_or_insert(now);
    }

    /// Forgets a connection that has ended.
    pub fn remove(&mut self, connection: u64) {
        if let Some(held) = self.connections.remove(&connection) {
            self.total -= held.bytes;
        }
    }

    /// Returns the connections to break off because they have been stalled for too long.
    pub fn expire(&mut self, now: Duration) -> Vec<u64> {
        let is_expired = |held: &HeldConnection| {
            let is_full = held.bytes >= Self::CONNECTION_BYTES as u64;
            let max = match held.is_held_back || is_full {
                true => Self::MAX_BACK_PRESSURE,
                false => Self::MAX_STALL,
            };
            held.stalled_since
                .is_some_and(|since| now.saturating_sub(since) >= max)
        };
        let expired = self.connections.iter();
        let expired = expired.filter(|(_, held)| is_expired(held));
        let mut expired = expired.map(|(id, _)| *id).collect::<Vec<_>>();
        expired.sort_unstable();
        for id in &expired {
            self.remove(*id);
        }
        expired
    }

    /// Returns whether a caller has not accepted all that is to be sent to it. The bytes held do not tell:
    /// heads and framing are accepted without having been counted.
    #[must_use]
    pub fn has_unaccepted(&self) -> bool {
        let mut connections = self.connections.values();
        connections.any(|held| held.bytes > 0 || held.stalled_since.is_some())
    }

    /// Returns the bytes held over all connections.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.total
    }

    /// Returns the share of the VM's bound in use, in thousandths.
    #[must_use]
    pub fn used_permille(&self) -> u64 {
        self.total.saturating_mul(1_000) / self.limit
    }
}
