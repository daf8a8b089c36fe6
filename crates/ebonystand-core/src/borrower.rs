use super::*;

/// Demand and newest ask of a VM that borrows from this lender.
#[derive(Debug)]
pub(crate) struct Borrower {
    /// Demand of the borrower's callers, in micro-tokens per second.
    pub(crate) demand: MicroTokens,
    /// Time at which the borrower reported its demand.
    pub(crate) heard_at: Duration,
    /// Newest ask of the borrower. Another that is not newer is a duplicate or late.
    pub(crate) newest_ask: AskId,
}

impl Borrower {
    /// Age from which a demand that is not reported again counts as 0.
    const DEMAND_TTL: Duration = Duration::from_millis(2_500);

    /// Reported demand in micro-tokens per second, or 0 if the report is too old.
    pub(crate) fn fresh_demand(&self, now: Duration) -> MicroTokens {
        if now.saturating_sub(self.heard_at) > Self::DEMAND_TTL {
            return 0;
        }
        self.demand
    }

    /// Records an ask if it is newer than all before it; returns whether it is.
    pub(crate) fn accept_if_newer(&mut self, ask: AskId) -> bool {
        if ask.incarnation == self.newest_ask.incarnation
            && ask.sequence <= self.newest_ask.sequence
        {
            return false;
        }
        self.newest_ask = ask;
        true
    }
}
