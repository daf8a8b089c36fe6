use super::*;

/// Queue of messages to be sent to one VM, bounded in bytes.
///
/// Without the bound, a saturated link would keep seconds of outdated messages in the memory of a small
/// VM. A new load message is merged with the queued one of the same kind, and short messages are sent
/// before long ones.
#[derive(Debug, Default)]
pub struct SendQueue {
    long: MessageQueue,
    short: MessageQueue,
}

/// First-in, first-out queue of either the short or the long messages.
#[derive(Debug, Default)]
struct MessageQueue {
    /// Total encoded length of the messages in bytes.
    bytes: usize,
    /// Queued messages, each with its encoded length in bytes.
    messages: VecDeque<(usize, PeerMessage)>,
}

impl SendQueue {
    /// Maximum length of all queued short messages in bytes; a link of 10 Mbit/s sends as many in a fifth
    /// of a second. A single longer message is still queued if no other short message is.
    pub const MAX_SHORT_BYTES: usize = 256 << 10;
    /// Maximum length of all queued long messages in bytes. A single longer message is still queued if no
    /// other long message is.
    pub const MAX_LONG_BYTES: usize = 1 << 20;

    /// Returns whether the queue has no messages.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the number of queued messages.
    #[must_use]
    pub fn len(&self) -> usize {
        self.long.messages.len() + self.short.messages.len()
    }

    /// Returns the total length of the queued messages in bytes, before compression.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.long.bytes + self.short.bytes
    }

    /// Queues a message and returns whether there was room for it. A load message is merged with a queued
    /// one of the same kind; if the result has no room, both are dropped.
    pub fn push(&mut self, message: PeerMessage) -> bool {
        let message = match message {
            PeerMessage::Load(load) => {
                let queued = self
                    .short
                    .remove_first(|queued| queued.is_replaced_by(&load));
                match queued {
                    Some(PeerMessage::Load(older)) => PeerMessage::Load(load.merge_unsent(older)),
                    _ => PeerMessage::Load(load),
                }
            }
            other => other,
        };
        match message.is_long() {
            true => self.long.push(message, Self::MAX_LONG_BYTES),
            false => self.short.push(message, Self::MAX_SHORT_BYTES),
        }
    }

    /// Removes and returns the next message to send: the oldest short one, else the oldest long one.
    pub fn pop(&mut self) -> Option<PeerMessage> {
        self.short.pop().or_else(|| self.long.pop())
    }

    /// Removes all messages from the queue.
    pub fn clear(&mut self) {
        *self = Self::default();
    }
}

impl MessageQueue {
    fn push(&mut self, message: PeerMessage, max_bytes: usize) -> bool {
        let bytes = message.encoded_len();
        if !self.messages.is_empty() && self.bytes + bytes > max_bytes {
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

    fn remove_first(&mut self, is_match: impl Fn(&PeerMessage) -> bool) -> Option<PeerMessage> {
        let mut messages = self.messages.iter();
        let index = messages.position(|(_, message)| is_match(message))?;
        let (bytes, message) = self.messages.remove(index)?;
        self.bytes -= bytes;
        Some(message)
    }
}
