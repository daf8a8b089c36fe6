use super::*;

/// A VM's part of one workspace's allowance, and what it has lent of it.
///
/// Only the own part is lent, never what was borrowed, so no lease rests on another.
#[derive(Debug, Default)]
pub(crate) struct AllowanceLender {
    borrowers: BTreeMap<VmId, Borrower>,
    /// What the bucket has of the own part.
    free: AllowancePart,
    lent: BTreeMap<u64, LentLease>,
    lent_total: AllowancePart,
    part: AllowancePart,
    recall: Option<Recall>,
}

impl AllowanceLender {
    /// Least part of the own one that is worth a lease: demand that varies would give rise to many.
    const LEAST: MicroTokens = 16;

    /// Puts the part in force. What is lent beyond a smaller part comes back with the leases' end.
    pub(crate) fn set_part(
        &mut self,
        now: Duration,
        part: AllowancePart,
        bucket: &mut TokenBucket,
    ) {
        self.part = part;
        self.rebase(now, bucket);
    }

    /// Whether the own part is not to be used.
    pub(crate) fn is_resting(&self) -> bool {
        self.part == AllowancePart::ZERO
    }

    /// Part lent to others.
    pub(crate) fn lent_total(&self) -> AllowancePart {
        self.lent_total
    }

    /// Whether there is anything to remember.
    pub(crate) fn is_idle(&self) -> bool {
        self.lent.is_empty()
    }

    /// Takes back what has ended, without its tokens: they may have been spent.
    pub(crate) fn expire(&mut self, now: Duration, bucket: &mut TokenBucket) {
        let before = self.lent.len();
        let total = &mut self.lent_total;
        self.lent.retain(|_, lease| {
            let lasts = now < lease.ends;
            if !lasts {
                *total = total.minus(lease.part);
            }
            lasts
        });
        if self.lent.len() != before {
            self.rebase(now, bucket);
        }
    }

    /// Notes an ask; false if it is a duplicate or late.
    pub(crate) fn takes_ask(
        &mut self,
        now: Duration,
        from: &VmId,
        ask: AskId,
        demand: MicroTokens,
    ) -> bool {
        if let Some(borrower) = self.borrowers.get_mut(from) {
            borrower.demand = demand;
            borrower.heard = now;
            return borrower.takes(ask);
        }
        let borrower = Borrower {
            demand,
            heard: now,
            newest: ask,
        };
        self.borrowers.insert(from.clone(), borrower);
        true
    }

    /// Whether leases that were called back may still come.
    pub(crate) fn is_recalling(&mut self, now: Duration) -> bool {
        let done = |recall: &Recall| recall.unanswered.is_empty() || recall.until <= now;
        if self.recall.as_ref().is_some_and(done) {
            self.recall = None;
        }
        self.recall.is_some()
    }

    /// Tokens that can be lent now to a VM that has `room`.
    pub(crate) fn lendable(&self, room: MicroTokens, bucket: &TokenBucket) -> MicroTokens {
        bucket.level().min(self.free.capacity.saturating_add(room))
    }

    /// Whether someone other than `vm` has leases.
    pub(crate) fn lends_beside(&self, vm: &VmId) -> bool {
        self.lent.values().any(|lease| lease.to != *vm)
    }

    /// Calls back the leases of all but `vm`; what to send to whom.
    pub(crate) fn start_recall(
        &mut self,
        now: Duration,
        vm: &VmId,
        own_demand: MicroTokens,
        bucket: &TokenBucket,
        cx: &mut AllowanceCx,
    ) -> Vec<(VmId, AllowanceAction)> {
        let others = self.lent.values().filter(|lease| lease.to != *vm);
        let unanswered: BTreeSet<VmId> = others.map(|lease| lease.to.clone()).collect();
        let recall = cx.next();
        let total = self.total_demand(now, own_demand);
        let room = bucket.room() / unanswered.len().max(1) as u64;
        let action = |to: &VmId| {
            let keep = self.kept(now, to, total);
            AllowanceAction::Recall { keep, recall, room }
        };
        let recalls = unanswered.iter().map(|to| (to.clone(), action(to)));
        let recalls = recalls.collect();
        self.recall = Some(Recall {
            id: recall,
            until: now + cx.recall_wait(),
            unanswered,
        });
        recalls
    }

    /// Calls back what a VM whose demand has fallen has beyond its share.
    pub(crate) fn recall_excess(
        &self,
        now: Duration,
        vm: &VmId,
        own_demand: MicroTokens,
        cx: &mut AllowanceCx,
    ) -> Option<AllowanceAction> {
        let keep = self.kept(now, vm, self.total_demand(now, own_demand));
        (self.lent_to(vm).rate > keep.rate).then(|| AllowanceAction::Recall {
            keep,
            recall: cx.next(),
            room: 0,
        })
    }

    /// Lends to the asker its share by demand, and the tokens that claims need.
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
            sequence: cx.next(),
        };
        let (part, tokens) = self.offer(now, to, (need, room), own_demand, bucket);
        // Debited before it is sent: a lost message loses tokens, it never doubles them.
        bucket.take(now, part, tokens);
        if part == AllowancePart::ZERO {
            return (id, part, tokens);
        }
        self.free = self.free.minus(part);
        self.lent_total = self.lent_total.plus(part);
        let lease = LentLease {
            ends: now + LeaseTerms::HOLD,
            part,
            returned: 0,
            to: to.clone(),
        };
        self.lent.insert(id.sequence, lease);
        (id, part, tokens)
    }

    /// Renews leases; those that a smaller part no longer covers are left to end.
    pub(crate) fn renew(
        &mut self,
        now: Duration,
        from: &VmId,
        demand: MicroTokens,
        leases: &[LeaseHold],
        bucket: &mut TokenBucket,
        cx: &AllowanceCx,
    ) -> Vec<LeaseId> {
        self.note_demand(now, from, demand);
        let mut renewed = Vec::new();
        for hold in leases {
            self.shrink(from, hold, cx);
            let covered = self.lent_total.min(self.part) == self.lent_total;
            if covered && let Some(lease) = self.lease_of(from, hold.lease, cx) {
                lease.ends = now + LeaseTerms::HOLD;
                renewed.push(hold.lease);
            }
        }
        self.rebase(now, bucket);
        renewed
    }

    /// Takes leases back with their tokens. A lease that has ended or came back already is
    /// unknown, so a late or doubled return brings nothing.
    pub(crate) fn take_back(
        &mut self,
        now: Duration,
        from: &VmId,
        leases: &[LeaseReturn],
        bucket: &mut TokenBucket,
        cx: &AllowanceCx,
    ) {
        let mut tokens = 0_u64;
        for back in leases {
            let Some(lease) = self.lease_of(from, back.hold.lease, cx) else {
                continue;
            };
            if back.sequence > lease.returned {
                lease.returned = back.sequence;
                tokens = tokens.saturating_add(back.tokens.min(lease.part.capacity));
            }
            self.shrink(from, &back.hold, cx);
        }
        self.rebase(now, bucket);
        bucket.put(now, AllowancePart::ZERO, tokens);
    }

    /// Notes what a VM that gave leases back said.
    pub(crate) fn note_return(
        &mut self,
        now: Duration,
        from: &VmId,
        demand: MicroTokens,
        recall: Option<u64>,
    ) {
        self.note_demand(now, from, demand);
        if let Some(current) = &mut self.recall
            && recall == Some(current.id)
        {
            current.unanswered.remove(from);
        }
    }

    /// When something happens by itself next.
    pub(crate) fn deadline(&self) -> Option<Duration> {
        let ends = self.lent.values().map(|lease| lease.ends).min();
        let recall = self.recall.as_ref().map(|recall| recall.until);
        [ends, recall].into_iter().flatten().min()
    }

    fn lease_of(&mut self, vm: &VmId, id: LeaseId, cx: &AllowanceCx) -> Option<&mut LentLease> {
        if id.incarnation != cx.incarnation {
            return None;
        }
        self.lent
            .get_mut(&id.sequence)
            .filter(|lease| lease.to == *vm)
    }

    fn note_demand(&mut self, now: Duration, vm: &VmId, demand: MicroTokens) {
        if let Some(borrower) = self.borrowers.get_mut(vm) {
            borrower.demand = demand;
            borrower.heard = now;
        }
    }

    fn offer(
        &self,
        now: Duration,
        to: &VmId,
        (need, room): (MicroTokens, MicroTokens),
        own_demand: MicroTokens,
        bucket: &TokenBucket,
    ) -> (AllowancePart, MicroTokens) {
        let total = self.total_demand(now, own_demand);
        let demand = self.demand_of(now, to);
        let has = self.lent_to(to);
        let mut more = self.share(demand, total).minus(has).min(self.free);
        if more.rate < self.part.rate / Self::LEAST {
            more = AllowancePart::ZERO;
        }
        if bucket.level() >= bucket.part().capacity / 4 * 3 {
            // A full bucket loses its rate, so all goes that the own callers do not want.
            more = more.max(self.free.minus(self.share(own_demand, total)));
        }
        let stock = scale(bucket.level(), demand, total).min(more.capacity + room);
        let tokens = stock.max(need).min(self.lendable(room, bucket));
        // What stays must still hold the tokens that stay.
        let spare = bucket.room() + tokens;
        let capacity = more
            .capacity
            .max(tokens.saturating_sub(room))
            .min(spare)
            .min(self.free.capacity);
        let rate = more.rate;
        (
            AllowancePart { capacity, rate },
            tokens.min(capacity + room),
        )
    }

    /// What a recall leaves with a VM: half more than fair, or the noise of the demand would keep
    /// leases moving.
    fn kept(&self, now: Duration, vm: &VmId, total: MicroTokens) -> AllowancePart {
        let fair = self.share(self.demand_of(now, vm), total);
        fair.plus(fair.half())
    }

    fn lent_to(&self, vm: &VmId) -> AllowancePart {
        self.lent
            .values()
            .filter(|lease| lease.to == *vm)
            .fold(AllowancePart::ZERO, |sum, lease| sum.plus(lease.part))
    }

    fn shrink(&mut self, vm: &VmId, hold: &LeaseHold, cx: &AllowanceCx) {
        let Some(lease) = self.lease_of(vm, hold.lease, cx) else {
            return;
        };
        let left = lease.part.min(hold.part);
        let gone = lease.part.minus(left);
        lease.part = left;
        self.lent_total = self.lent_total.minus(gone);
        if left == AllowancePart::ZERO {
            self.lent.remove(&hold.lease.sequence);
        }
    }

    fn demand_of(&self, now: Duration, vm: &VmId) -> MicroTokens {
        let borrower = self.borrowers.get(vm);
        borrower.map_or(0, |borrower| borrower.fresh_demand(now))
    }

    fn total_demand(&self, now: Duration, own_demand: MicroTokens) -> MicroTokens {
        let demand = |borrower: &Borrower| borrower.fresh_demand(now);
        let all: MicroTokens = self.borrowers.values().map(demand).sum();
        all.saturating_add(own_demand).max(1)
    }

    /// Share of the part that goes with `demand` out of `total`.
    fn share(&self, demand: MicroTokens, total: MicroTokens) -> AllowancePart {
        AllowancePart {
            capacity: scale(self.part.capacity, demand, total),
            rate: scale(self.part.rate, demand, total),
        }
    }

    fn rebase(&mut self, now: Duration, bucket: &mut TokenBucket) {
        let free = self.part.minus(self.lent_total);
        bucket.put(now, free.minus(self.free), 0);
        bucket.take(now, self.free.minus(free), 0);
        self.free = free;
    }
}
