//! Borrower's side of a share: asking for leases, renewing and returning them.

use super::*;

impl AllowanceShare {
    /// Asks the other holders for leases ahead of need if the demand exceeds the rate or the bucket
    /// runs low, so that the next requests need not wait.
    pub(crate) fn prefetch_leases(&mut self, now: Duration, cx: &mut AllowanceCx) {
        if now < self.prefetch_after || !self.is_holder(cx) {
            return;
        }
        let part = self.bucket.part();
        let exceeds_rate = part.rate < self.demand.rate(now);
        if !exceeds_rate && self.bucket.level() > part.capacity / 4 {
            return;
        }
        self.prefetch_after = now + LeaseTerms::PREFETCH_INTERVAL;
        for (to, _) in self.holders.other_regions.clone() {
            self.send_ask(now, &to, 0, now, cx);
        }
    }

    /// Adds a lease if it answers an open ask.
    pub(crate) fn handle_lend(
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
        // A duplicated answer finds its ask closed. The lease's tokens are in the bucket already,
        // so the duplicate must add none.
        let Some(index) = self.asks.iter().position(is_answered) else {
            return;
        };
        let asked_at = self.asks.swap_remove(index).asked_at;
        // The term is counted from the ask. The lender counts it from the moment at which it lent,
        // which is later, so the lease expires here first, however long the answer took.
        let expires = asked_at + LeaseTerms::BORROWER_TERM;
        let (part, tokens) = granted;
        if expires <= now {
            return;
        }
        self.bucket.add(now, part, tokens);
        if part != AllowancePart::ZERO {
            self.add_lease(asked_at, from, lease, part);
        }
        self.serve_claims(now, cx);
    }

    /// Stores a lease with its expiry and renewal time.
    fn add_lease(&mut self, asked_at: Duration, from: &VmId, lease: LeaseId, part: AllowancePart) {
        self.borrowed.push(BorrowedLease {
            expires_at: asked_at + LeaseTerms::BORROWER_TERM,
            id: lease,
            lender: from.clone(),
            part,
            renew_at: BorrowedLease::renewal_time(asked_at),
        });
        self.update_first_expiry();
    }

    /// Extends leases that their lender has renewed.
    pub(crate) fn handle_renewed(&mut self, from: &VmId, asked_at: Duration, leases: &[LeaseId]) {
        let renewed = self
            .borrowed
            .iter_mut()
            .filter(|lease| lease.lender == *from && leases.contains(&lease.id));
        for lease in renewed {
            lease.expires_at = lease.expires_at.max(asked_at + LeaseTerms::BORROWER_TERM);
            lease.renew_at = BorrowedLease::renewal_time(asked_at);
        }
        self.update_first_expiry();
    }

    /// Returns to `lender` the leased part beyond `keep`, and as many tokens as it can take.
    pub(crate) fn return_leases(
        &mut self,
        now: Duration,
        lender: &VmId,
        (keep, room): (AllowancePart, MicroTokens),
        recall: Option<u64>,
        cx: &mut AllowanceCx,
    ) {
        self.bucket.advance(now);
        let (mut surplus, mut tokens) = self.compute_surplus(lender, keep, room);
        let mut leases = Vec::new();
        let lent = self.borrowed.iter_mut().filter(|l| l.lender == *lender);
        for lease in lent {
            let (released, returned) = lease.release(&mut surplus, &mut tokens, cx);
            // Debited before the message is sent, so that a lost message never duplicates tokens.
            self.bucket.remove(now, released, returned.tokens);
            if released != AllowancePart::ZERO || returned.tokens > 0 {
                leases.push(returned);
            }
        }
        self.borrowed
            .retain(|lease| lease.part != AllowancePart::ZERO);
        self.update_first_expiry();
        if leases.is_empty() && recall.is_none() {
            return;
        }
        let demand = self.demand.rate(now);
        let action = AllowanceAction::Return {
            demand,
            leases,
            recall,
        };
        cx.queue_item(lender, &self.workspace, action);
    }

    /// Answers a recall. If this VM last had a request, claim or ask for the workspace at least
    /// [`LeaseTerms::QUIET_THRESHOLD`] ago, it keeps only the capacity that unsettled reservations
    /// and open grants need.
    pub(crate) fn handle_recall(
        &mut self,
        now: Duration,
        from: &VmId,
        recall: u64,
        (keep, room): (AllowancePart, MicroTokens),
        cx: &mut AllowanceCx,
    ) {
        let is_quiet = now.saturating_sub(self.last_used) >= LeaseTerms::QUIET_THRESHOLD;
        let keep = if is_quiet { AllowancePart::ZERO } else { keep };
        self.return_leases(now, from, (keep, room), Some(recall), cx);
    }

    /// Returns all leases to their lenders.
    pub(crate) fn return_all_leases(&mut self, now: Duration, cx: &mut AllowanceCx) {
        let lenders: BTreeSet<VmId> = self.borrowed.iter().map(|l| l.lender.clone()).collect();
        for lender in lenders {
            self.return_leases(now, &lender, (AllowancePart::ZERO, 0), None, cx);
        }
    }

    /// Renews the leases that are due; returns all of them instead if the workspace is idle or has
    /// too many.
    pub(crate) fn renew_leases(&mut self, now: Duration, cx: &mut AllowanceCx) {
        if self.borrowed.iter().all(|lease| now < lease.renew_at) {
            return;
        }
        if !self.can_keep_leases(now) {
            self.return_all_leases(now, cx);
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
            cx.queue_item(&lender, &self.workspace, action);
        }
    }

    /// Forgets asks whose answer would come after the lease's expiry.
    pub(crate) fn drop_expired_asks(&mut self, now: Duration) {
        self.asks
            .retain(|ask| now < ask.asked_at + LeaseTerms::BORROWER_TERM);
    }

    /// Part and micro-tokens that can go back to `lender`, whose bucket has `room` for tokens
    /// beyond the returned capacity.
    ///
    /// All beyond `keep` goes back, and the tokens, except for the capacity that the kept rate
    /// fills within [`LeaseTerms::RECALL_FILL_TIME`]. Capacity stays for unsettled reservations,
    /// whose refunds would otherwise be lost, and for grants that may still be spent.
    fn compute_surplus(
        &self,
        lender: &VmId,
        keep: AllowancePart,
        room: MicroTokens,
    ) -> (AllowancePart, MicroTokens) {
        let lent = self.borrowed.iter().filter(|l| l.lender == *lender);
        let leased = lent.fold(AllowancePart::ZERO, |sum, lease| {
            sum.saturating_add(lease.part)
        });
        let keep = keep.min(leased);
        let min_capacity = keep
            .accrual(LeaseTerms::RECALL_FILL_TIME)
            .min(leased.capacity);
        let level = self.bucket.level();
        let slack = self.bucket.part().capacity.saturating_sub(level);
        let reserved_room = self.reserved.saturating_add(self.bucket.locked());
        let tokens = level
            .min(leased.capacity)
            .min(leased.capacity - min_capacity + room);
        let max_capacity = leased.capacity - tokens.saturating_sub(room);
        let capacity = keep
            .capacity
            .max(slack.min(reserved_room))
            .clamp(min_capacity, max_capacity);
        let rate = keep.rate;
        (
            leased.saturating_sub(AllowancePart { capacity, rate }),
            tokens,
        )
    }

    /// Whether the workspace is in use and its leases are few enough to keep.
    fn can_keep_leases(&self, now: Duration) -> bool {
        let idle = now.saturating_sub(self.last_used) >= LeaseTerms::IDLE_TIMEOUT;
        !idle && self.borrowed.len() <= LeaseTerms::MAX_LEASES
    }

    /// Sends an ask for a lease and remembers it until it is answered.
    pub(crate) fn send_ask(
        &mut self,
        now: Duration,
        to: &VmId,
        need: MicroTokens,
        awaited_until: Duration,
        cx: &mut AllowanceCx,
    ) {
        let sequence = cx.next_sequence();
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
        cx.queue_item(to, &self.workspace, action);
    }
}
