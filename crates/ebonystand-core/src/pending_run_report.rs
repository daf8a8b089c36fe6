use super::*;

/// The end of a run that the owner is to know of.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct PendingRunReport {
    pub(crate) fingerprint: Fingerprint,
    pub(crate) message: QuarantineMessage,
    pub(crate) sent_at: Duration,
    /// It is sent again until then.
    pub(crate) resend_until: Duration,
}

impl PendingRunReport {
    pub(crate) fn is_crash(&self) -> bool {
        matches!(self.message, QuarantineMessage::Crashed { .. })
    }
}
