//! Holder's side of a share: answering claims with grants.

use super::*;

impl AllowanceShare {
    /// Queues a claim. It is granted once there are enough tokens, or refused as soon as it is
    /// clear that there won't be within [`LeaseTerms::MAX_QUEUE_WAIT`]. A holder that must leave
    /// its part unused refuses at once, so that the claimant can ask the holders of the other
    /// regions.
    pub(crate) fn handle_claim(
        &mut self,
        now: Duration,
        claim: AskId,
        from: VmId,
        first: bool,
        need: MicroTokens,
        cx: &mut AllowanceCx,
    ) {
        self.last_used = now;
        if first {
            self.demand.record(now, need);
        }
        let rate = self.bucket.part().rate;
        let is_large = first && accrual_time(need, rate) > LeaseTerms::MAX_QUEUE_WAIT;
        let rounds = if is_large { 2 } else { 0 };
        if self.lender.has_no_part() {
            let claim = WaitingClaim::new(now, claim, from, first, need, rounds);
            let rest = self.rests_until.map(|at| at.saturating_sub(now));
            self.answer_claim(now, &claim, 0, 0, rest.unwrap_or(Duration::MAX), cx);
            return;
        }
        self.claims
            .push_back(WaitingClaim::new(now, claim, from, first, need, rounds));
        if first {
            self.prefetch_leases(now, cx);
        }
        self.serve_claims(now, cx);
    }

    /// Grants the claims that the bucket covers, in order. For the rest it gathers tokens from
    /// other holders before it refuses: a claim must not fail while tokens lie idle elsewhere.
    pub(crate) fn serve_claims(&mut self, now: Duration, cx: &mut AllowanceCx) {
        self.bucket.advance(now);
        while let Some(claim) = self.pop_servable_claim() {
            let grant = self.grants.grant(now, claim.need, &mut self.bucket, cx);
            self.answer_claim(now, &claim, claim.need, grant, Duration::ZERO, cx);
        }
        if !self.claims.is_empty() {
            self.gather_tokens(now, cx);
            self.refuse_unservable(now, cx);
        }
    }

    /// Credits unspent tokens of a grant made by this start of the VM.
    pub(crate) fn handle_refund(&mut self, now: Duration, refund: GrantRefund, cx: &AllowanceCx) {
        if refund.grant.incarnation == cx.incarnation {
            self.grants.refund(now, &refund, &mut self.bucket);
        }
    }

    /// Time at which a waiting claim can be granted or must be refused; `None` if none waits.
    pub(crate) fn claims_deadline(&self, now: Duration) -> Option<Duration> {
        let front = self.claims.front()?;
        let filled = self
            .bucket
            .time_until_level(front.need)
            .map(|wait| now + wait);
        let answers = self.asks.iter().map(|ask| ask.awaited_until);
        let answers = answers.filter(|at| *at > now).max();
        [filled, answers, Some(front.deadline)]
            .into_iter()
            .flatten()
            .min()
    }

    /// Removes the first claim that the bucket covers. A claim that waits for other holders lets
    /// later ones pass, since the tokens here would otherwise lie idle until the answers arrive.
    fn pop_servable_claim(&mut self) -> Option<WaitingClaim> {
        let level = self.bucket.level();
        let index = self
            .claims
            .iter()
            .position(|claim| claim.need <= level || !claim.waits_for_others)?;
        match self.claims[index].need <= level {
            true => self.claims.remove(index),
            false => None,
        }
    }

    /// Asks the other holders for the tokens that waiting claims lack, and recalls leases of the
    /// own part.
    fn gather_tokens(&mut self, now: Duration, cx: &mut AllowanceCx) {
        let first = self.claims.iter().filter(|claim| claim.is_first);
        let need: MicroTokens = first.map(|claim| claim.need).sum();
        let missing = need.saturating_sub(self.bucket.level());
        let is_served_by_rate =
            accrual_time(missing, self.bucket.part().rate) <= LeaseTerms::MAX_QUEUE_WAIT;
        if is_served_by_rate || now < self.gather_after || self.is_gathering(now) {
            return;
        }
        self.gather_after = now + LeaseTerms::RECALL_INTERVAL;
        for claim in &mut self.claims {
            claim.waits_for_others = claim.rounds_left > 0;
            claim.rounds_left = claim.rounds_left.saturating_sub(1);
        }
        let own_vm = cx.vm.clone();
        self.recall_leases(now, &own_vm, cx);
        for (to, _) in self.holders.other_regions.clone() {
            let awaited_until = now + cx.recall_timeout();
            self.send_ask(now, &to, missing, awaited_until, cx);
        }
    }

    /// Whether tokens from other holders may still arrive for waiting claims.
    fn is_gathering(&mut self, now: Duration) -> bool {
        self.asks.iter().any(|ask| now < ask.awaited_until) || self.lender.is_recalling(now)
    }

    /// Refuses claims that the rate won't serve in time, except those that can still wait for
    /// tokens from other holders.
    fn refuse_unservable(&mut self, now: Duration, cx: &mut AllowanceCx) {
        let rate = self.bucket.part().rate;
        let is_gathering = self.is_gathering(now);
        let may_gather = is_gathering || now >= self.gather_after;
        let mut ahead = 0;
        let mut unservable = Vec::new();
        self.claims.retain(|claim| {
            let missing = (ahead + claim.need).saturating_sub(self.bucket.level());
            let can_gather =
                (is_gathering && claim.waits_for_others) || (may_gather && claim.rounds_left > 0);
            let is_served_by_rate = accrual_time(missing, rate) <= LeaseTerms::MAX_QUEUE_WAIT;
            let can_wait = now < claim.deadline && (can_gather || is_served_by_rate);
            if can_wait {
                ahead += claim.need;
            } else {
                unservable.push(claim.clone());
            }
            can_wait
        });
        for claim in unservable {
            let retry_after = self.retry_schedule.schedule_retry(now, claim.need, rate);
            self.answer_claim(now, &claim, 0, 0, retry_after, cx);
        }
    }

    /// Sends the answer to a claim, or handles it at once if the claimant is this VM.
    fn answer_claim(
        &mut self,
        now: Duration,
        claim: &WaitingClaim,
        tokens: MicroTokens,
        sequence: u64,
        retry_after: Duration,
        cx: &mut AllowanceCx,
    ) {
        let incarnation = cx.incarnation;
        let grant = LeaseId {
            incarnation,
            sequence,
        };
        if claim.claimant == cx.vm {
            let holder = claim.claimant.clone();
            let grant = HeldGrant {
                grant,
                holder,
                tokens,
            };
            self.handle_grant(now, claim.id, retry_after, grant, cx);
            return;
        }
        let action = AllowanceAction::Grant {
            claim: claim.id,
            grant,
            retry_after,
            tokens,
        };
        cx.queue_item(&claim.claimant, &self.workspace, action);
    }
}
