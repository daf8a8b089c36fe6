use super::*;

/// Messages that wait to be sent to one VM, bounded in bytes.
///
/// A link that is full would otherwise hold seconds of messages, each older than the one behind it, in the
/// memory of a small VM. The newest state of the load takes the place of one that still waits, and long
/// messages let short ones pass.
#[derive(Debug, Default)]
pub struct SendQueue {
    long: Lane,
    short: Lane,
}

#[derive(Debug, Default)]
struct Lane {
    bytes: usize,
    /// With their bytes.
    messages: VecDeque<(usize, PeerMessage)>,
}

impl SendQueue {
    /// Bytes of short messages that wait at most: a fifth of a second of a link of 10 Mbit/s.
    pub const SHORT_BYTES: usize = 256 << 10;
    /// Bytes of long messages that wait at most, unless a single one is larger.
    pub const LONG_BYTES: usize = 1 << 20;

    /// Whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Messages that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.long.messages.len() + self.short.messages.len()
    }

    /// Bytes that wait, before compression.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.long.bytes + self.short.bytes
    }

    /// Takes a message in; false if there is no room for it.
    pub fn push(&mut self, message: PeerMessage) -> bool {
        let message = match message {
            PeerMessage::Load(load) => {
                let waiting = self.short.take(|waiting| waiting.is_load_like(&load));
                match waiting {
                    Some(PeerMessage::Load(older)) => PeerMessage::Load(load.merge_unsent(older)),
                    _ => PeerMessage::Load(load),
                }
            }
            other => other,
        };
        match message.is_long() {
            true => self.long.push(message, Self::LONG_BYTES),
            false => self.short.push(message, Self::SHORT_BYTES),
        }
    }

    /// The message that is to be sent next.
    pub fn pop(&mut self) -> Option<PeerMessage> {
        self.short.pop().or_else(|| self.long.pop())
    }

    /// Drops all that waits.
    pub fn clear(&mut self) {
        *self = Self::default();
    }
}

impl Lane {
    fn push(&mut self, message: PeerMessage, most: usize) -> bool {
        let bytes = message.bytes();
        if !self.messages.is_empty() && self.bytes + bytes > most {
            return false;
        }
        self.bytes += bytes;
        self.messages.push_back((bytes, message));
        true
    }

    fn pop(&mut self) -> Option<PeerMessage> {
        let (bytes, message) = self.messages.pop_front()?;
        self.bytes -= bytes;
        Some(message)
    }

    fn take(&mut self, wanted: impl Fn(&PeerMessage) -> bool) -> Option<PeerMessage> {
        let mut messages = self.messages.iter();
        let place = messages.position(|(_, message)| wanted(message))?;
        let (bytes, message) = self.messages.remove(place)?;
        self.bytes -= bytes;
        Some(message)
    }
}
