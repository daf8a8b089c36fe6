use super::*;

/// Message between a VM that wants slots and a scheduler. Any message may be lost, late or doubled.
///
/// A VM numbers its requests for slots; each number is used once at a scheduler.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum SlotMessage {
    /// The answer to a granted request has begun, `waited_ms` after it was sent.
    Begun {
        /// Number of the request for a slot.
        number: u32,
        /// Time from the sending of the request to the first byte, in milliseconds.
        waited_ms: u32,
    },
    /// The request has ended, or its slot is no longer wanted.
    End {
        /// Number of the request for a slot.
        number: u32,
    },
    /// The request may be sent to this engine.
    Grant {
        /// Short name of the engine.
        engine: UpstreamKey,
        /// Number of the request for a slot.
        number: u32,
    },
    /// All requests that the sender still waits for or runs by a grant of the recipient.
    Held {
        /// Numbers of the requests for slots.
        numbers: Vec<u32>,
    },
    /// The request waits for a slot.
    Queued {
        /// Number of the request for a slot.
        number: u32,
    },
    /// The request gets no slot in time.
    Refuse {
        /// Number of the request for a slot.
        number: u32,
        /// Time after which the slots before it will have come free, in milliseconds.
        retry_ms: u32,
    },
    /// Asks for a slot.
    Request {
        /// Number of the request for a slot.
        number: u32,
        /// What is asked for.
        request: SlotRequest,
    },
}

impl SlotMessage {
    /// Returns whether the recipient gets the message as a scheduler, not as the VM that asks.
    #[must_use]
    pub fn is_for_scheduler(&self) -> bool {
        match self {
            Self::Begun { .. } | Self::End { .. } | Self::Held { .. } | Self::Request { .. } => {
                true
            }
            Self::Grant { .. } | Self::Queued { .. } | Self::Refuse { .. } => false,
        }
    }
}
