//! How a share that holds a part answers those who ask for it.

use super::*;

impl AllowanceShare {
    /// Takes a message's item.
    pub(crate) fn take_action(
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
            } => self.take_ask(now, from, ask, demand, (need, room), cx),
            AllowanceAction::Claim { claim, first, need } => {
                self.take_claim(now, claim, from.clone(), first, need, cx);
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
                self.take_grant(now, claim, retry_after, held, cx);
            }
            AllowanceAction::Refund(refund) => {
                self.take_refund(now, refund, cx);
                self.serve_claims(now, cx);
            }
            AllowanceAction::Lend {
                ask,
                lease,
                part,
                tokens,
            } => self.take_lease(now, from, ask, lease, (part, tokens), cx),
            AllowanceAction::Recall { keep, recall, room } => {
                self.take_recall(now, from, recall, (keep, room), cx);
            }
            AllowanceAction::Renew {
                asked_at,
                demand,
                leases,
            } => self.take_renewal(now, from, asked_at, demand, &leases, cx),
            AllowanceAction::Renewed { asked_at, leases } => {
                self.note_renewal(from, asked_at, &leases);
            }
            AllowanceAction::Return {
                demand,
                leases,
                recall,
            } => self.take_return(now, from, demand, &leases, recall, cx),
        }
    }

    fn take_ask(
        &mut self,
        now: Duration,
        from: &VmId,
        ask: AskId,
        demand: MicroTokens,
        (need, room): (MicroTokens, MicroTokens),
        cx: &mut AllowanceCx,
    ) {
        self.used = now;
        if !self.lender.takes_ask(now, from, ask, demand) {
            return;
        }
        self.bucket.advance(now);
        if self.lender.lendable(room, &self.bucket) < need {
            self.call_back(now, from, cx);
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
        cx.send(from, &self.workspace, action);
    }

    /// Takes leases back.
    pub(crate) fn take_return(
        &mut self,
        now: Duration,
        from: &VmId,
        demand: MicroTokens,
        leases: &[LeaseReturn],
        recall: Option<u64>,
        cx: &mut AllowanceCx,
    ) {
        self.lender
            .take_back(now, from, leases, &mut self.bucket, cx);
        self.lender.note_return(now, from, demand, recall);
        self.serve_claims(now, cx);
    }

    fn take_renewal(
        &mut self,
        now: Duration,
        from: &VmId,
        asked_at: Duration,
        demand: MicroTokens,
        leases: &[LeaseHold],
        cx: &mut AllowanceCx,
    ) {
        let bucket = &mut self.bucket;
        let leases = self.lender.renew(now, from, demand, leases, bucket, cx);
        if leases.is_empty() {
            return;
        }
        let action = AllowanceAction::Renewed { asked_at, leases };
        cx.send(from, &self.workspace, action);
        let own = self.demand.rate(now);
        if let Some(action) = self.lender.recall_excess(now, from, own, cx) {
            cx.send(from, &self.workspace, action);
        }
    }

    /// Calls back leases of all but `vm` beyond their share by demand, with their tokens.
    pub(crate) fn call_back(&mut self, now: Duration, vm: &VmId, cx: &mut AllowanceCx) {
        if !self.lender.lends_beside(vm) || self.lender.is_recalling(now) {
            return;
        }
        let demand = self.demand.rate(now);
        let recalls = self.lender.start_recall(now, vm, demand, &self.bucket, cx);
        for (to, action) in recalls {
            cx.send(&to, &self.workspace, action);
        }
    }
}
