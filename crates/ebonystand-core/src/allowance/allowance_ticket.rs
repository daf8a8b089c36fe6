use super::*;

/// Request that waits for its allowance.
#[derive(Debug)]
pub(crate) struct AllowanceTicket {
    pub(crate) deadline: Duration,
    pub(crate) id: TicketId,
    /// Shortest time after which a holder that was asked will have enough.
    pub(crate) retry_after: Duration,
    pub(crate) round: ClaimRound,
    pub(crate) tokens: Tokens,
}

impl AllowanceTicket {
    /// What it needs.
    pub(crate) fn need(&self) -> MicroTokens {
        self.tokens.saturating_mul(AllowancePart::SCALE)
    }
}
