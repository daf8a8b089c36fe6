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
