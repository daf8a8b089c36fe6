use super::*;

/// Outputs of one input of a [`Quarantine`].
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct QuarantineStep {
    /// Answers to runs that were asked for.
    pub answers: Vec<PermitAnswer>,
    /// Crash reports that all VMs know of now: the callers of these runs may be answered.
    pub recorded: Vec<RunId>,
    /// Messages to send.
    pub sends: Vec<QuarantineSend>,
}

/// Answer to a run that was asked for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PermitAnswer {
    /// The answer.
    pub permit: RunPermit,
    /// The run.
    pub run: RunId,
}

impl QuarantineStep {
    pub(crate) fn send(&mut self, to: &VmId, message: QuarantineMessage) {
        self.sends.push(QuarantineSend {
            message,
            to: to.clone(),
        });
    }
}
