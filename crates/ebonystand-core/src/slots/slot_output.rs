use super::*;

/// Action that a [`SlotClient`] or a [`SlotScheduler`] wants.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SlotOutput {
    /// The wait of a request of this VM is over.
    Decide {
        /// What becomes of the request.
        decision: SlotDecision,
        /// Number of the request for a slot.
        number: u32,
    },
    /// A message is to be sent.
    Send {
        /// Message to send.
        message: SlotMessage,
        /// Recipient, which may be this VM.
        to: VmId,
    },
}
