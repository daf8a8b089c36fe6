use super::*;

/// A [`QuarantineMessage`] to be sent. Loss, delay and repetition are tolerated.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct OutgoingQuarantineMessage {
    /// What.
    pub message: QuarantineMessage,
    /// To which VM.
    pub to: VmId,
}
