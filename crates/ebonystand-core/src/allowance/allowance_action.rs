use super::*;

/// Step of the protocol between a VM that needs allowance and one that holds it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum AllowanceAction {
    /// Wants a lease.
    Ask {
        /// Names this ask.
        ask: AskId,
        /// Micro-tokens a second that the asker's callers want.
        demand: MicroTokens,
        /// Micro-tokens that claims wait for; 0 asks for stock.
        need: MicroTokens,
        /// Micro-tokens that the asker can hold without more capacity.
        room: MicroTokens,
    },
    /// Wants tokens for one request.
    Claim {
        /// Names this claim.
        claim: AskId,
        /// Whether this holder is the first that is asked for the request.
        first: bool,
        /// Micro-tokens.
        need: MicroTokens,
    },
    /// Answers a claim.
    Grant {
        /// The claim.
        claim: AskId,
        /// Names the grant.
        grant: LeaseId,
        /// When the holder will have enough, if it has not.
        retry_after: Duration,
        /// Micro-tokens, to be spent within [`LeaseTerms::GRANT`] of the claim; all or none.
        tokens: MicroTokens,
    },
    /// Answers an ask; empty if there is nothing to lend.
    Lend {
        /// The ask.
        ask: AskId,
        /// Names the lease.
        lease: LeaseId,
        /// What is lent until the lease ends; empty if only tokens come.
        part: AllowancePart,
        /// What it holds, in micro-tokens.
        tokens: MicroTokens,
    },
    /// Wants tokens back, and leases beyond the borrower's share by demand.
    Recall {
        /// What may stay. Rate on its way from VM to VM brings no tokens, so it moves only when
        /// the shares of the demand do.
        keep: AllowancePart,
        /// Names this recall.
        recall: u64,
        /// Micro-tokens that the lender can hold without more capacity.
        room: MicroTokens,
    },
    /// Gives back tokens of a grant that were not spent.
    Refund(GrantRefund),
    /// Wants leases to last longer.
    Renew {
        /// When, on the asker's clock.
        asked_at: Duration,
        /// Micro-tokens a second that the asker's callers want.
        demand: MicroTokens,
        /// What is held of each.
        leases: Vec<LeaseHold>,
    },
    /// Leases last until a lease's length after `asked_at`.
    Renewed {
        /// As asked.
        asked_at: Duration,
        /// Those that are renewed.
        leases: Vec<LeaseId>,
    },
    /// Gives leases back, wholly or in part.
    Return {
        /// Micro-tokens a second that the sender's callers want.
        demand: MicroTokens,
        /// What comes back.
        leases: Vec<LeaseReturn>,
        /// The recall that this answers.
        recall: Option<u64>,
    },
}
