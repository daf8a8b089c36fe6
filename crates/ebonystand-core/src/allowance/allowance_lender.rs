use super::*;

/// Lender's side of one workspace: the part that this VM holds, and the leases on it.
///
/// Only the own part is lent, never a borrowed one, so that no lease depends on another.
#[derive(Debug, Default)]
pub(crate) struct AllowanceLender {
    /// Demand and newest ask of each VM that has asked for a lease.
    borrowers: BTreeMap<VmId, Borrower>,
    /// Portion of the own part that is not lent and is in the bucket.
    free: AllowancePart,
    /// Leases that have not expired, by sequence number.
    lent: BTreeMap<u64, LentLease>,
    /// Sum of the parts in `lent`.
    lent_total: AllowancePart,
    /// Own part in force, including what is lent.
    part: AllowancePart,
    /// Recall whose answers are outstanding.
    recall: Option<Recall>,
}

impl AllowanceLender {
    /// Divisor of the own rate that gives the smallest rate worth a lease. Without a minimum, each
    /// variation of the demand would cause another lease.
    const MIN_LEASE_DIVISOR: MicroTokens = 16;

    /// Sets the own part. If it shrinks below what is lent, the excess comes back as leases expire.
    pub(crate) fn set_part(
        &mut self,
        now: Duration,
        part: AllowancePart,
        bucket: &mut TokenBucket,
    ) {
        self.part = part;
        self.update_free_part(now, bucket);
    }

    /// Whether this VM has no own part to use or lend: it holds none, or must leave it unused.
    pub(crate) fn has_no_part(&self) -> bool {
        self.part == AllowancePart::ZERO
    }

    /// Sum of the parts lent to other VMs.
    pub(crate) fn lent_total(&self) -> AllowancePart {
        self.lent_total
    }

    /// Whether no lease is outstanding.
    pub(crate) fn has_no_leases(&self) -> bool {
        self.lent.is_empty()
    }

    /// Reclaims expired leases, without their tokens: the borrower may have spent them.
    pub(crate) fn expire(&mut self, now: Duration, bucket: &mut TokenBucket) {
        let before = self.lent.len();
        let total = &mut self.lent_total;
        self.lent.retain(|_, lease| {
            let is_live = now < lease.expires_at;
            if !is_live {
                *total = total.saturating_sub(lease.part);
            }
            is_live
        });
        if self.lent.len() != before {
            self.update_free_part(now, bucket);
        }
    }

    /// Records a borrower's demand; returns false if the ask is a duplicate or older than another.
    pub(crate) fn accept_ask(
        &mut self,
        now: Duration,
        from: &VmId,
        ask: AskId,
        demand: MicroTokens,
    ) -> bool {
        if let Some(borrower) = self.borrowers.get_mut(from) {
            borrower.demand = demand;
            borrower.heard_at = now;
            return borrower.accept_if_newer(ask);
        }
        let borrower = Borrower {
            demand,
            heard_at: now,
            newest_ask: ask,
        };
        self.borrowers.insert(from.clone(), borrower);
        true
    }

    /// Whether answers to a recall are still awaited.
    pub(crate) fn is_recalling(&mut self, now: Duration) -> bool {
        let done = |recall: &Recall| recall.unanswered.is_empty() || recall.expires_at <= now;
        if self.recall.as_ref().is_some_and(done) {
            self.recall = None;
        }
        self.recall.is_some()
    }

    /// Micro-tokens that can be lent now to a VM whose bucket has `room` for more.
    pub(crate) fn lendable(&self, room: MicroTokens, bucket: &TokenBucket) -> MicroTokens {
        bucket.level().min(self.free.capacity.saturating_add(room))
    }

    /// Whether a VM other than `vm` has leases.
    pub(crate) fn has_other_borrowers(&self, vm: &VmId) -> bool {
        self.lent.values().any(|lease| lease.borrower != *vm)
    }

    /// Starts a recall from all borrowers but `vm`; returns the message for each.
    pub(crate) fn start_recall(
        &mut self,
        now: Duration,
        vm: &VmId,
        own_demand: MicroTokens,
        bucket: &TokenBucket,
        cx: &mut AllowanceCx,
    ) -> Vec<(VmId, AllowanceAction)> {
        let others = self.lent.values().filter(|lease| lease.borrower != *vm);
        let unanswered: BTreeSet<VmId> = others.map(|lease| lease.borrower.clone()).collect();
        let recall = cx.next_sequence();
        let total = self.total_demand(now, own_demand);
        let room = bucket.room() / unanswered.len().max(1) as u64;
        let action = |to: &VmId| {
            let keep = self.part_to_keep(now, to, total);
            AllowanceAction::Recall { keep, recall, room }
        };
        let recalls = unanswered.iter().map(|to| (to.clone(), action(to)));
        let recalls = recalls.collect();
        self.recall = Some(Recall {
            id: recall,
            expires_at: now + cx.recall_timeout(),
            unanswered,
        });
        recalls
    }

    /// Recalls what a borrower has beyond its share, if its demand has fallen.
    pub(crate) fn recall_excess(
        &self,
        now: Duration,
        vm: &VmId,
        own_demand: MicroTokens,
        cx: &mut AllowanceCx,
    ) -> Option<AllowanceAction> {
        let keep = self.part_to_keep(now, vm, self.total_demand(now, own_demand));
        (self.lent_to(vm).rate > keep.rate).then(|| AllowanceAction::Recall {
            keep,
            recall: cx.next_sequence(),
            room: 0,
        })
    }

    /// Lends a part in proportion to the borrower's demand, and the tokens that its claims need.
    pub(crate) fn lend(
        &mut self,
        now: Duration,
        to: &VmId,
        (need, room): (MicroTokens, MicroTokens),
        own_demand: MicroTokens,
        bucket: &mut TokenBucket,
        cx: &mut AllowanceCx,
    ) -> (LeaseId, AllowancePart, MicroTokens) {
        let id = LeaseId {
            incarnation: cx.incarnation,
            sequence: cx.next_sequence(),
        };
        let (part, tokens) = self.compute_offer(now, to, (need, room), own_demand, bucket);
        // Debited before the message is sent, so that a lost message loses tokens and never
        // duplicates them.
        bucket.remove(now, part, tokens);
        if part == AllowancePart::ZERO {
            return (id, part, tokens);
        }
        self.free = self.free.saturating_sub(part);
        self.lent_total = self.lent_total.saturating_add(part);
        let lease = LentLease {
            expires_at: now + LeaseTerms::LENDER_TERM,
            part,
            last_return: 0,
            borrower: to.clone(),
        };
        self.lent.insert(id.sequence, lease);
        (id, part, tokens)
    }

    /// Renews a borrower's leases; returns the renewed ones. If the own part has shrunk below what
    /// is lent, none is renewed, so that they expire.
    pub(crate) fn renew_leases(
        &mut self,
        now: Duration,
        from: &VmId,
        demand: MicroTokens,
        leases: &[LeaseHold],
        bucket: &mut TokenBucket,
        cx: &AllowanceCx,
    ) -> Vec<LeaseId> {
        self.record_demand(now, from, demand);
        let mut renewed = Vec::new();
        for hold in leases {
            self.shrink_lease(from, hold, cx);
            let covered = self.lent_total.min(self.part) == self.lent_total;
            if covered && let Some(lease) = self.find_lease(from, hold.lease, cx) {
                lease.expires_at = now + LeaseTerms::LENDER_TERM;
                renewed.push(hold.lease);
            }
        }
        self.update_free_part(now, bucket);
        renewed
    }

    /// Takes back leases and their tokens. A lease that has expired or was returned is unknown, so
    /// a late or duplicated return credits nothing.
    pub(crate) fn accept_returns(
        &mut self,
        now: Duration,
        from: &VmId,
        leases: &[LeaseReturn],
        bucket: &mut TokenBucket,
        cx: &AllowanceCx,
    ) {
        let mut tokens = 0_u64;
        for returned in leases {
            let Some(lease) = self.find_lease(from, returned.hold.lease, cx) else {
                continue;
            };
            if returned.sequence > lease.last_return {
                lease.last_return = returned.sequence;
                tokens = tokens.saturating_add(returned.tokens.min(lease.part.capacity));
            }
            self.shrink_lease(from, &returned.hold, cx);
        }
        self.update_free_part(now, bucket);
        bucket.add(now, AllowancePart::ZERO, tokens);
    }

    /// Records the demand in a return and, if it answers the current recall, the borrower's answer.
    pub(crate) fn record_return(
        &mut self,
        now: Duration,
        from: &VmId,
        demand: MicroTokens,
        recall: Option<u64>,
    ) {
        self.record_demand(now, from, demand);
        if let Some(current) = &mut self.recall
            && recall == Some(current.id)
        {
            current.unanswered.remove(from);
        }
    }

    /// Earliest time at which a lease or a recall expires.
    pub(crate) fn deadline(&self) -> Option<Duration> {
        let expiry = self.lent.values().map(|lease| lease.expires_at).min();
        let recall = self.recall.as_ref().map(|recall| recall.expires_at);
        [expiry, recall].into_iter().flatten().min()
    }

    /// Finds a lease of `vm` that this start of the lender has made.
    fn find_lease(&mut self, vm: &VmId, id: LeaseId, cx: &AllowanceCx) -> Option<&mut LentLease> {
        if id.incarnation != cx.incarnation {
            return None;
        }
        self.lent
            .get_mut(&id.sequence)
            .filter(|lease| lease.borrower == *vm)
    }

    fn record_demand(&mut self, now: Duration, vm: &VmId, demand: MicroTokens) {
        if let Some(borrower) = self.borrowers.get_mut(vm) {
            borrower.demand = demand;
            borrower.heard_at = now;
        }
    }

    /// Part and micro-tokens to lend to a borrower that needs `need` and has `room`.
    fn compute_offer(
        &self,
        now: Duration,
        to: &VmId,
        (need, room): (MicroTokens, MicroTokens),
        own_demand: MicroTokens,
        bucket: &TokenBucket,
    ) -> (AllowancePart, MicroTokens) {
        let total = self.total_demand(now, own_demand);
        let demand = self.demand_of(now, to);
        let current = self.lent_to(to);
        let mut additional = self
            .share_by_demand(demand, total)
            .saturating_sub(current)
            .min(self.free);
        if additional.rate < self.part.rate / Self::MIN_LEASE_DIVISOR {
            additional = AllowancePart::ZERO;
        }
        if bucket.level() >= bucket.part().capacity / 4 * 3 {
            // Tokens that accrue to a nearly full bucket are lost, so it lends all that the own
            // callers don't need.
            additional = additional.max(
                self.free
                    .saturating_sub(self.share_by_demand(own_demand, total)),
            );
        }
        let tokens_by_demand =
            mul_div(bucket.level(), demand, total).min(additional.capacity + room);
        let tokens = tokens_by_demand.max(need).min(self.lendable(room, bucket));
        // The remaining capacity must hold the remaining tokens.
        let spare = bucket.room() + tokens;
        let capacity = additional
            .capacity
            .max(tokens.saturating_sub(room))
            .min(spare)
            .min(self.free.capacity);
        let rate = additional.rate;
        (
            AllowancePart { capacity, rate },
            tokens.min(capacity + room),
        )
    }

    /// Part that a recall leaves with a borrower: one and a half times its share, since noise in
    /// the demand would otherwise move leases back and forth.
    fn part_to_keep(&self, now: Duration, vm: &VmId, total: MicroTokens) -> AllowancePart {
        let fair_share = self.share_by_demand(self.demand_of(now, vm), total);
        fair_share.saturating_add(fair_share.half())
    }

    /// Sum of the parts lent to a VM.
    fn lent_to(&self, vm: &VmId) -> AllowancePart {
        self.lent
            .values()
            .filter(|lease| lease.borrower == *vm)
            .fold(AllowancePart::ZERO, |sum, lease| {
                sum.saturating_add(lease.part)
            })
    }

    /// Reduces a lease to what its borrower still holds, and removes an empty one.
    fn shrink_lease(&mut self, vm: &VmId, hold: &LeaseHold, cx: &AllowanceCx) {
        let Some(lease) = self.find_lease(vm, hold.lease, cx) else {
            return;
        };
        let remaining = lease.part.min(hold.part);
        let returned = lease.part.saturating_sub(remaining);
        lease.part = remaining;
        self.lent_total = self.lent_total.saturating_sub(returned);
        if remaining == AllowancePart::ZERO {
            self.lent.remove(&hold.lease.sequence);
        }
    }

    /// Current demand of a borrower, in micro-tokens per second.
    fn demand_of(&self, now: Duration, vm: &VmId) -> MicroTokens {
        let borrower = self.borrowers.get(vm);
        borrower.map_or(0, |borrower| borrower.fresh_demand(now))
    }

    /// Demand of all borrowers and the own callers, in micro-tokens per second; at least 1.
    fn total_demand(&self, now: Duration, own_demand: MicroTokens) -> MicroTokens {
        let demand = |borrower: &Borrower| borrower.fresh_demand(now);
        let all: MicroTokens = self.borrowers.values().map(demand).sum();
        all.saturating_add(own_demand).max(1)
    }

    /// Share of the own part in proportion `demand` to `total`.
    fn share_by_demand(&self, demand: MicroTokens, total: MicroTokens) -> AllowancePart {
        AllowancePart {
            capacity: mul_div(self.part.capacity, demand, total),
            rate: mul_div(self.part.rate, demand, total),
        }
    }

    /// Recomputes the free part after a change of the own or the lent part, and resizes the bucket.
    fn update_free_part(&mut self, now: Duration, bucket: &mut TokenBucket) {
        let free = self.part.saturating_sub(self.lent_total);
        bucket.add(now, free.saturating_sub(self.free), 0);
        bucket.remove(now, self.free.saturating_sub(free), 0);
        self.free = free;
    }
}
