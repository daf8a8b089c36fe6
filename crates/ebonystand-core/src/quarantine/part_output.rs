use super::*;

/// What the caller of a [`PartQuarantine`] method has to send and to log.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PartOutput {
    /// Stages that have changed on this VM, by its own decision or another's.
    pub changes: Vec<PartStatus>,
    /// Messages to other VMs, in order.
    pub messages: Vec<OutgoingPartMessage>,
}

/// A [`PartMessage`] to send to another VM. The protocol tolerates loss, delay and duplication.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OutgoingPartMessage {
    /// Message of this VM.
    pub message: PartMessage,
    /// VM that receives the message.
    pub to: VmId,
}

impl PartOutput {
    pub(crate) fn send(&mut self, to: &VmId, message: PartMessage) {
        let to = to.clone();
        self.messages.push(OutgoingPartMessage { message, to });
    }
}
