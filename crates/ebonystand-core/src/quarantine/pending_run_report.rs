use super::*;

/// Report of a run's end that its recipient has not confirmed yet.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct PendingRunReport {
    pub(crate) fingerprint: Fingerprint,
    pub(crate) message: QuarantineMessage,
    /// VM that the report is for; `None` if it is for the owner at the time of sending.
    pub(crate) to: Option<VmId>,
    pub(crate) sent_at: Duration,
    /// Time at which the report is dropped even if it is unconfirmed.
    pub(crate) resend_until: Duration,
}

impl PendingRunReport {
    pub(crate) fn is_crash(&self) -> bool {
        matches!(
            self.message,
            QuarantineMessage::Crashed {
                rule: CrashRule::Permits,
                ..
            }
        )
    }
}
