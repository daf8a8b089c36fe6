use super::*;

/// Claim that waits at a holder for tokens.
#[derive(Clone, Debug)]
pub(crate) struct WaitingClaim {
    pub(crate) id: AskId,
    /// Time by which the claim is answered at the latest.
    pub(crate) deadline: Duration,
    /// Whether this holder is the first one asked. Only that one gathers tokens for the claim: if
    /// all did, each would take them away from the others.
    pub(crate) is_first: bool,
    /// VM that claims the tokens.
    pub(crate) claimant: VmId,
    /// Number of further rounds in which the claim may wait for tokens from other holders.
    pub(crate) rounds_left: u8,
    /// Whether the claim waits for tokens from other holders now.
    pub(crate) waits_for_others: bool,
    pub(crate) need: MicroTokens,
}

impl WaitingClaim {
    /// Creates a claim that may wait for other holders in `rounds_left` rounds. Two are needed
    /// since in the first one they recall what they have lent to each other.
    pub(crate) fn new(
        now: Duration,
        id: AskId,
        claimant: VmId,
        is_first: bool,
        need: MicroTokens,
        rounds_left: u8,
    ) -> Self {
        Self {
            id,
            deadline: now + LeaseTerms::MAX_CLAIM_WAIT,
            is_first,
            claimant,
            need,
            rounds_left,
            waits_for_others: false,
        }
    }
}
