use super::*;

/// A [`QuarantineMessage`] to send to another VM. The protocol tolerates loss, delay and
/// duplication.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct OutgoingQuarantineMessage {
    /// Request, reply or announcement of this VM's [`Quarantine`].
    pub message: QuarantineMessage,
    /// VM that receives the message.
    pub to: VmId,
}
