use super::*;

/// What the caller of a [`Quarantine`] method has to send and to answer.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct QuarantineOutput {
    /// Replies to permit requests of this VM.
    pub permit_answers: Vec<PermitAnswer>,
    /// Runs whose end the owner has confirmed. After a crash, every reachable VM knows of it by
    /// then, so the caller may be answered.
    pub recorded_runs: Vec<RunId>,
    /// Messages to send to other VMs.
    pub messages: Vec<OutgoingQuarantineMessage>,
}

/// Reply to this VM's request for a permit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PermitAnswer {
    /// Whether the run may start.
    pub permit: RunPermit,
    /// Run that the permit was requested for.
    pub run: RunId,
}

impl QuarantineOutput {
    pub(crate) fn append(&mut self, other: Self) {
        self.permit_answers.extend(other.permit_answers);
        self.recorded_runs.extend(other.recorded_runs);
        self.messages.extend(other.messages);
    }

    pub(crate) fn send(&mut self, to: &VmId, message: QuarantineMessage) {
        self.messages.push(OutgoingQuarantineMessage {
            message,
            to: to.clone(),
        });
    }
}
