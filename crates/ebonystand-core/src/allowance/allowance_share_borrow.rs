//! How a share asks for leases, renews them and gives them back.

use super::*;

impl AllowanceShare {
    /// Asks the other holders for a part of theirs when the own one does not meet the demand, so that
    /// the next requests need not wait.
    pub(crate) fn ask_for_stock(&mut self, now: Duration, cx: &mut AllowanceCx) {
        if now < self.stock_after || !self.is_holder(cx) {
            return;
        }
        let part = self.bucket.part();
        let slow = part.rate < self.demand.rate(now);
        if !slow && self.bucket.level() > part.capacity / 4 {
            return;
        }
        self.stock_after = now + LeaseTerms::STOCK;
        for (to, _) in self.route.others.clone() {
            self.send_ask(now, &to, 0, now, cx);
        }
    }

    /// Takes a lease, if it answers an ask that is open.
    pub(crate) fn take_lease(
        &mut self,
        now: Duration,
        from: &VmId,
        ask: AskId,
        lease: LeaseId,
        granted: (AllowancePart, MicroTokens),
        cx: &mut AllowanceCx,
    ) {
        let is_answered = |open: &OpenAsk| {
            ask.incarnation == cx.incarnation && ask.sequence == open.sequence && open.to == *from
        };
        // A duplicate finds its ask closed. It must bring nothing: the tokens are here already.
        let Some(place) = self.asks.iter().position(is_answered) else {
            return;
        };
        let asked_at = self.asks.swap_remove(place).asked_at;
        // Counted from the ask: the lender counts from when it lent, which is later, so its end
        // comes after ours however long the answer was on its way.
        let expires = asked_at + LeaseTerms::LENGTH;
        let (part, tokens) = granted;
        if expires <= now {
            return;
        }
        self.bucket.put(now, part, tokens);
        if part != AllowancePart::ZERO {
            self.note_lease(asked_at, from, lease, part);
        }
        self.serve_claims(now, cx);
    }

    fn note_lease(&mut self, asked_at: Duration, from: &VmId, lease: LeaseId, part: AllowancePart) {
        self.borrowed.push(BorrowedLease {
            expires: asked_at + LeaseTerms::LENGTH,
            id: lease,
            lender: from.clone(),
            part,
            renew_at: BorrowedLease::renewal(asked_at),
        });
        self.note_expiry();
    }

    /// Notes that leases last longer.
    pub(crate) fn note_renewal(&mut self, from: &VmId, asked_at: Duration, leases: &[LeaseId]) {
        let renewed = self
            .borrowed
            .iter_mut()
            .filter(|lease| lease.lender == *from && leases.contains(&lease.id));
        for lease in renewed {
            lease.expires = lease.expires.max(asked_at + LeaseTerms::LENGTH);
            lease.renew_at = BorrowedLease::renewal(asked_at);
        }
        self.note_expiry();
    }

    /// Gives back the leases of `lender` beyond `keep`, with their tokens.
    pub(crate) fn give_back(
        &mut self,
        now: Duration,
        lender: &VmId,
        (keep, room): (AllowancePart, MicroTokens),
        recall: Option<u64>,
        cx: &mut AllowanceCx,
    ) {
        self.bucket.advance(now);
        let (mut left, mut tokens) = self.surplus(lender, keep, room);
        let mut leases = Vec::new();
        let lent = self.borrowed.iter_mut().filter(|l| l.lender == *lender);
        for lease in lent {
            let (given, back) = lease.give(&mut left, &mut tokens, cx);
            // Debited before it is sent, like a lease.
            self.bucket.take(now, given, back.tokens);
            if given != AllowancePart::ZERO || back.tokens > 0 {
                leases.push(back);
            }
        }
        self.borrowed
            .retain(|lease| lease.part != AllowancePart::ZERO);
        self.note_expiry();
        if leases.is_empty() && recall.is_none() {
            return;
        }
        let demand = self.demand.rate(now);
        let action = AllowanceAction::Return {
            demand,
            leases,
            recall,
        };
        cx.send(lender, &self.workspace, action);
    }

    /// Gives back what a recall asks for; all of it if no request came lately.
    pub(crate) fn take_recall(
        &mut self,
        now: Duration,
        from: &VmId,
        recall: u64,
        (keep, room): (AllowancePart, MicroTokens),
        cx: &mut AllowanceCx,
    ) {
        let quiet = now.saturating_sub(self.used) >= LeaseTerms::QUIET;
        let keep = if quiet { AllowancePart::ZERO } else { keep };
        self.give_back(now, from, (keep, room), Some(recall), cx);
    }

    /// Gives back all leases.
    pub(crate) fn give_all_back(&mut self, now: Duration, cx: &mut AllowanceCx) {
        let lenders: BTreeSet<VmId> = self.borrowed.iter().map(|l| l.lender.clone()).collect();
        for lender in lenders {
            self.give_back(now, &lender, (AllowancePart::ZERO, 0), None, cx);
        }
    }

    /// Renews leases that are due; gives back those of a workspace that hardly uses them.
    pub(crate) fn renew(&mut self, now: Duration, cx: &mut AllowanceCx) {
        if self.borrowed.iter().all(|lease| now < lease.renew_at) {
            return;
        }
        if !self.needs_leases(now) {
            self.give_all_back(now, cx);
        }
        let demand = self.demand.rate(now);
        let mut due: BTreeMap<VmId, Vec<LeaseHold>> = BTreeMap::new();
        for lease in self
            .borrowed
            .iter_mut()
            .filter(|lease| lease.renew_at <= now)
        {
            lease.renew_at = now + LeaseTerms::RENEWAL_INTERVAL;
            due.entry(lease.lender.clone())
                .or_default()
                .push(LeaseHold {
                    lease: lease.id,
                    part: lease.part,
                });
        }
        for (lender, leases) in due {
            let action = AllowanceAction::Renew {
                asked_at: now,
                demand,
                leases,
            };
            cx.send(&lender, &self.workspace, action);
        }
    }

    /// Drops asks whose answer could bring nothing any more.
    pub(crate) fn forget_asks(&mut self, now: Duration) {
        self.asks
            .retain(|ask| now < ask.asked_at + LeaseTerms::LENGTH);
    }

    /// What can go back to `lender`, which has `room` for tokens without capacity: all beyond
    /// `keep`, and the tokens, but for what the kept rate fills in a short time. The room that
    /// unsettled reservations may pay back into stays: without it their refunds would be lost. So does
    /// that of grants that may still be spent.
    fn surplus(
        &self,
        lender: &VmId,
        keep: AllowancePart,
        room: MicroTokens,
    ) -> (AllowancePart, MicroTokens) {
        let lent = self.borrowed.iter().filter(|l| l.lender == *lender);
        let has = lent.fold(AllowancePart::ZERO, |sum, lease| sum.plus(lease.part));
        let keep = keep.min(has);
        let least = keep.accrual(LeaseTerms::KEPT).min(has.capacity);
        let level = self.bucket.level();
        let slack = self.bucket.part().capacity.saturating_sub(level);
        let kept = self.reserved.saturating_add(self.bucket.locked());
        let tokens = level.min(has.capacity).min(has.capacity - least + room);
        let most = has.capacity - tokens.saturating_sub(room);
        let capacity = keep.capacity.max(slack.min(kept)).clamp(least, most);
        let rate = keep.rate;
        (has.minus(AllowancePart { capacity, rate }), tokens)
    }

    fn needs_leases(&self, now: Duration) -> bool {
        let idle = now.saturating_sub(self.used) >= LeaseTerms::IDLE;
        !idle && self.borrowed.len() <= LeaseTerms::LEASES
    }

    pub(crate) fn send_ask(
        &mut self,
        now: Duration,
        to: &VmId,
        need: MicroTokens,
        awaited_until: Duration,
        cx: &mut AllowanceCx,
    ) {
        let sequence = cx.next();
        self.asks.push(OpenAsk {
            asked_at: now,
            awaited_until,
            sequence,
            to: to.clone(),
        });
        let action = AllowanceAction::Ask {
            ask: AskId {
                incarnation: cx.incarnation,
                sequence,
            },
            demand: self.demand.rate(now),
            need,
            room: self.bucket.room(),
        };
        cx.send(to, &self.workspace, action);
    }
}
