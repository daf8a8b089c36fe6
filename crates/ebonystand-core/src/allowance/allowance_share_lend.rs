//! Lender's side of a share: dispatching received protocol steps and answering asks, renewals and
//! returns.

use super::*;

impl AllowanceShare {
    /// Handles one received protocol step.
    pub(crate) fn handle_action(
        &mut self,
        now: Duration,
        from: &VmId,
        action: AllowanceAction,
        cx: &mut AllowanceCx,
    ) {
        match action {
            AllowanceAction::Ask {
                ask,
                demand,
                need,
                room,
            } => self.handle_ask(now, from, ask, demand, (need, room), cx),
            AllowanceAction::Claim { claim, first, need } => {
                self.handle_claim(now, claim, from.clone(), first, need, cx);
            }
            AllowanceAction::Grant {
                claim,
                grant,
                retry_after,
                tokens,
            } => {
                let held = HeldGrant {
                    grant,
                    holder: from.clone(),
                    tokens,
                };
                self.handle_grant(now, claim, retry_after, held, cx);
            }
            AllowanceAction::Refund(refund) => {
                self.handle_refund(now, refund, cx);
                self.serve_claims(now, cx);
            }
            AllowanceAction::Lend {
                ask,
                lease,
                part,
                tokens,
            } => self.handle_lend(now, from, ask, lease, (part, tokens), cx),
            AllowanceAction::Recall { keep, recall, room } => {
                self.handle_recall(now, from, recall, (keep, room), cx);
            }
            AllowanceAction::Renew {
                asked_at,
                demand,
                leases,
            } => self.handle_renew(now, from, asked_at, demand, &leases, cx),
            AllowanceAction::Renewed { asked_at, leases } => {
                self.handle_renewed(from, asked_at, &leases);
            }
            AllowanceAction::Return {
                demand,
                leases,
                recall,
            } => self.handle_return(now, from, demand, &leases, recall, cx),
        }
    }

    /// Answers an ask with a lease, and recalls leases from other borrowers if there are too few
    /// tokens.
    fn handle_ask(
        &mut self,
        now: Duration,
        from: &VmId,
        ask: AskId,
        demand: MicroTokens,
        (need, room): (MicroTokens, MicroTokens),
        cx: &mut AllowanceCx,
    ) {
        self.last_used = now;
        if !self.lender.accept_ask(now, from, ask, demand) {
            return;
        }
        self.bucket.advance(now);
        if self.lender.lendable(room, &self.bucket) < need {
            self.recall_leases(now, from, cx);
        }
        let claimed: MicroTokens = self.claims.iter().map(|claim| claim.need).sum();
        let need = need.min(self.bucket.level().saturating_sub(claimed));
        let demand = self.demand.rate(now);
        let bucket = &mut self.bucket;
        let (lease, part, tokens) = self
            .lender
            .lend(now, from, (need, room), demand, bucket, cx);
        let action = AllowanceAction::Lend {
            ask,
            lease,
            part,
            tokens,
        };
        cx.queue_item(from, &self.workspace, action);
    }

    /// Takes back leases and serves waiting claims with their tokens.
    pub(crate) fn handle_return(
        &mut self,
        now: Duration,
        from: &VmId,
        demand: MicroTokens,
        leases: &[LeaseReturn],
        recall: Option<u64>,
        cx: &mut AllowanceCx,
    ) {
        self.lender
            .accept_returns(now, from, leases, &mut self.bucket, cx);
        self.lender.record_return(now, from, demand, recall);
        self.serve_claims(now, cx);
    }

    /// Renews leases, and recalls what the borrower has beyond its share of the demand.
    fn handle_renew(
        &mut self,
        now: Duration,
        from: &VmId,
        asked_at: Duration,
        demand: MicroTokens,
        leases: &[LeaseHold],
        cx: &mut AllowanceCx,
    ) {
        let bucket = &mut self.bucket;
        let leases = self
            .lender
            .renew_leases(now, from, demand, leases, bucket, cx);
        if leases.is_empty() {
            return;
        }
        let action = AllowanceAction::Renewed { asked_at, leases };
        cx.queue_item(from, &self.workspace, action);
        let own = self.demand.rate(now);
        if let Some(action) = self.lender.recall_excess(now, from, own, cx) {
            cx.queue_item(from, &self.workspace, action);
        }
    }

    /// Recalls tokens from all borrowers but `vm`, and the leased parts beyond their shares of the
    /// demand.
    pub(crate) fn recall_leases(&mut self, now: Duration, vm: &VmId, cx: &mut AllowanceCx) {
        if !self.lender.has_other_borrowers(vm) || self.lender.is_recalling(now) {
            return;
        }
        let demand = self.demand.rate(now);
        let recalls = self.lender.start_recall(now, vm, demand, &self.bucket, cx);
        for (to, action) in recalls {
            cx.queue_item(&to, &self.workspace, action);
        }
    }
}
