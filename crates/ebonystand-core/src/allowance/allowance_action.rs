use super::*;

/// Step of the lease and grant protocol between a VM that needs allowance and a holder of it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum AllowanceAction {
    /// Asks a holder for a lease; the holder answers with [`Self::Lend`].
    Ask {
        /// Identifier of the ask, repeated in the answer.
        ask: AskId,
        /// Demand of the sender's callers, in micro-tokens per second.
        demand: MicroTokens,
        /// Micro-tokens that claims waiting at the sender lack; 0 for an ask that prefetches.
        need: MicroTokens,
        /// Micro-tokens that fit into the sender's bucket without more capacity.
        room: MicroTokens,
    },
    /// Asks a holder for the tokens of one request; the holder answers with [`Self::Grant`].
    Claim {
        /// Identifier of the claim, repeated in the answer.
        claim: AskId,
        /// Whether this holder is the first one asked for the request; only that one counts it as
        /// demand.
        first: bool,
        /// Micro-tokens that the request needs.
        need: MicroTokens,
    },
    /// Answers a [`Self::Claim`].
    Grant {
        /// Identifier of the answered claim.
        claim: AskId,
        /// Identifier of the grant, repeated in a refund.
        grant: LeaseId,
        /// Time until the holder expects to have enough tokens; 0 if it granted them.
        retry_after: Duration,
        /// Granted micro-tokens, all that were claimed or 0; they expire [`LeaseTerms::GRANT_TERM`]
        /// after the claim.
        tokens: MicroTokens,
    },
    /// Answers an [`Self::Ask`]; part and tokens are empty if the holder has nothing to lend.
    Lend {
        /// Identifier of the answered ask.
        ask: AskId,
        /// Identifier of the lease, repeated in renewals and returns.
        lease: LeaseId,
        /// Rate and capacity lent until the lease expires; empty if only tokens are transferred.
        part: AllowancePart,
        /// Micro-tokens transferred with the lease.
        tokens: MicroTokens,
    },
    /// Asks a borrower to return tokens, and the leased part beyond its share of the demand.
    Recall {
        /// Part that the borrower may keep. Rate in transit between VMs accrues no tokens, so it
        /// moves only when the shares of the demand change.
        keep: AllowancePart,
        /// Identifier of the recall, repeated in the return that answers it.
        recall: u64,
        /// Micro-tokens that fit into the lender's bucket without more capacity.
        room: MicroTokens,
    },
    /// Returns unspent tokens of a grant to the holder that granted them.
    Refund(GrantRefund),
    /// Asks a lender to extend leases; the lender answers with [`Self::Renewed`].
    Renew {
        /// Time of the request on the sender's clock, repeated in the answer.
        asked_at: Duration,
        /// Demand of the sender's callers, in micro-tokens per second.
        demand: MicroTokens,
        /// Leases to extend, each with the part of it that the sender still holds.
        leases: Vec<LeaseHold>,
    },
    /// Extends leases to [`LeaseTerms::BORROWER_TERM`] after `asked_at`.
    Renewed {
        /// Time of the renewal request that this step answers, on the borrower's clock.
        asked_at: Duration,
        /// Leases that are extended; the others expire.
        leases: Vec<LeaseId>,
    },
    /// Returns leases to their lender, wholly or in part.
    Return {
        /// Demand of the sender's callers, in micro-tokens per second.
        demand: MicroTokens,
        /// Returned parts and tokens of each lease.
        leases: Vec<LeaseReturn>,
        /// Identifier of the answered recall; `None` if the sender returns the leases unasked.
        recall: Option<u64>,
    },
}
