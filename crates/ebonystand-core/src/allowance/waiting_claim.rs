use super::*;

/// Claim that a holder has not answered yet.
#[derive(Clone, Debug)]
pub(crate) struct WaitingClaim {
    pub(crate) claim: AskId,
    /// When it is answered at the latest.
    pub(crate) deadline: Duration,
    pub(crate) from: VmId,
    /// How often it may still wait for the other holders.
    pub(crate) rounds: u8,
    /// Whether it waits for the other holders now.
    pub(crate) waits_for_others: bool,
    pub(crate) need: MicroTokens,
}

impl WaitingClaim {
    /// Claim at a holder whose rate is `rate` a second. One that this would take long to serve waits for
    /// the other holders, twice: the first time they call back what they have lent to one another.
    pub(crate) fn new(
        now: Duration,
        claim: AskId,
        from: VmId,
        need: MicroTokens,
        rate: MicroTokens,
    ) -> Self {
        let is_large = time_for(need, rate) > LeaseTerms::QUEUE;
        Self {
            claim,
            deadline: now + LeaseTerms::CLAIM,
            from,
            need,
            rounds: if is_large { 2 } else { 0 },
            waits_for_others: false,
        }
    }
}
