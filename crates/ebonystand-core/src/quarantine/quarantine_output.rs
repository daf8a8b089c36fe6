use super::*;

/// Outputs of one input of a [`Quarantine`].
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct QuarantineOutput {
    /// Answers to runs that were asked for.
    pub permit_answers: Vec<PermitAnswer>,
    /// Crash reports that all VMs know of now: the callers of these runs may be answered.
    pub recorded_runs: Vec<RunId>,
    /// Messages to send.
    pub messages: Vec<OutgoingQuarantineMessage>,
}

/// Answer to a run that was asked for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PermitAnswer {
    /// The answer.
    pub permit: RunPermit,
    /// The run.
    pub run: RunId,
}

impl QuarantineOutput {
    pub(crate) fn send(&mut self, to: &VmId, message: QuarantineMessage) {
        self.messages.push(OutgoingQuarantineMessage {
            message,
            to: to.clone(),
        });
    }
}
