use super::*;

/// Claim sent to a holder that may still be answered.
#[derive(Debug)]
pub(crate) struct OpenClaim {
    pub(crate) asked_at: Duration,
    /// Time until which the request waits for this answer.
    pub(crate) awaited_until: Duration,
    /// Number by which the holder's answer names the claim.
    pub(crate) sequence: u64,
    pub(crate) ticket: TicketId,
    /// Holder that was asked.
    pub(crate) to: VmId,
}

impl OpenClaim {
    /// Time by which a running holder in the own region has answered.
    pub(crate) fn answered_by(&self) -> Duration {
        self.asked_at + LeaseTerms::ANSWER_MARGIN + LeaseTerms::MAX_CLAIM_WAIT
    }
}
