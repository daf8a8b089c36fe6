use super::*;

/// Claim that may still be answered.
#[derive(Debug)]
pub(crate) struct OpenClaim {
    pub(crate) asked_at: Duration,
    /// Until when its request waits for the answer.
    pub(crate) awaited_until: Duration,
    pub(crate) ticket: TicketId,
    pub(crate) to: VmId,
}

impl OpenClaim {
    /// When a holder of the own region that runs has answered.
    pub(crate) fn answered_by(&self) -> Duration {
        self.asked_at + LeaseTerms::ANSWER + LeaseTerms::CLAIM
    }
}
