use super::*;

/// Request that waits for tokens of its workspace's allowance.
#[derive(Debug)]
pub(crate) struct AllowanceTicket {
    /// Time at which the request is refused at the latest.
    pub(crate) deadline: Duration,
    pub(crate) id: TicketId,
    /// Whether a holder has answered that it has too few tokens.
    pub(crate) is_answered: bool,
    /// Shortest time until an asked holder expects to have enough tokens.
    pub(crate) retry_after: Duration,
    /// Holders that the tokens have been claimed from.
    pub(crate) round: ClaimRound,
    pub(crate) tokens: Tokens,
}

impl AllowanceTicket {
    /// Micro-tokens that the request needs.
    pub(crate) fn need(&self) -> MicroTokens {
        self.tokens.saturating_mul(AllowancePart::SCALE)
    }
}
