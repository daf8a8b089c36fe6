use super::*;

/// Claim that a holder has not answered yet.
#[derive(Clone, Debug)]
pub(crate) struct WaitingClaim {
    pub(crate) claim: AskId,
    /// When it is answered at the latest.
    pub(crate) deadline: Duration,
    /// Whether this holder is the first that was asked. The others do not gather for it: each would take
    /// the tokens away from the rest.
    pub(crate) first: bool,
    pub(crate) from: VmId,
    /// How often it may still wait for the other holders.
    pub(crate) rounds: u8,
    /// Whether it waits for the other holders now.
    pub(crate) waits_for_others: bool,
    pub(crate) need: MicroTokens,
}

impl WaitingClaim {
    /// Claim that may wait for the other holders in so many rounds: in the first one they call back what
    /// they have lent to one another.
    pub(crate) fn new(
        now: Duration,
        claim: AskId,
        from: VmId,
        first: bool,
        need: MicroTokens,
        rounds: u8,
    ) -> Self {
        Self {
            claim,
            deadline: now + LeaseTerms::CLAIM,
            first,
            from,
            need,
            rounds,
            waits_for_others: false,
        }
    }
}
