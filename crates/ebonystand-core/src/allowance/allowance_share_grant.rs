//! How a share that holds a part answers claims.

use super::*;

impl AllowanceShare {
    /// Takes a claim. It is answered once there is enough, or as soon as it is known that there will not
    /// be within [`LeaseTerms::QUEUE`]. A holder that must leave its part unused answers at once: those of the
    /// other regions can be asked.
    pub(crate) fn take_claim(
        &mut self,
        now: Duration,
        claim: AskId,
        from: VmId,
        first: bool,
        need: MicroTokens,
        cx: &mut AllowanceCx,
    ) {
        self.used = now;
        if first {
            self.demand.add(now, need);
        }
        let rate = self.bucket.part().rate;
        let is_large = first && time_for(need, rate) > LeaseTerms::QUEUE;
        let rounds = if is_large { 2 } else { 0 };
        if self.lender.is_resting() {
            let claim = WaitingClaim::new(now, claim, from, first, need, rounds);
            self.answer_claim(now, &claim, 0, 0, Duration::MAX, cx);
            return;
        }
        self.claims
            .push_back(WaitingClaim::new(now, claim, from, first, need, rounds));
        if first {
            self.ask_for_stock(now, cx);
        }
        self.serve_claims(now, cx);
    }

    /// Answers the claims that can be, in their order. What lies idle with other holders is no reason to
    /// refuse, so they are asked first.
    pub(crate) fn serve_claims(&mut self, now: Duration, cx: &mut AllowanceCx) {
        self.bucket.advance(now);
        while let Some(claim) = self.take_servable() {
            let grant = self.grants.grant(now, claim.need, &mut self.bucket, cx);
            self.answer_claim(now, &claim, claim.need, grant, Duration::ZERO, cx);
        }
        if !self.claims.is_empty() {
            self.gather(now, cx);
            self.refuse_hopeless(now, cx);
        }
    }

    /// Takes back what was granted and not spent.
    pub(crate) fn take_refund(&mut self, now: Duration, refund: GrantRefund, cx: &AllowanceCx) {
        if refund.grant.incarnation == cx.incarnation {
            self.grants.refund(now, &refund, &mut self.bucket);
        }
    }

    /// When a claim that waits is to be looked at.
    pub(crate) fn claims_deadline(&self, now: Duration) -> Option<Duration> {
        let front = self.claims.front()?;
        let filled = self.bucket.time_until(front.need).map(|wait| now + wait);
        let answers = self.asks.iter().map(|ask| ask.awaited_until);
        let answers = answers.filter(|at| *at > now).max();
        [filled, answers, Some(front.deadline)]
            .into_iter()
            .flatten()
            .min()
    }

    /// The first claim that there is enough for. One that waits for the other holders lets those behind it
    /// pass: the tokens that are here would lie idle until the answers come.
    fn take_servable(&mut self) -> Option<WaitingClaim> {
        let level = self.bucket.level();
        let place = self
            .claims
            .iter()
            .position(|claim| claim.need <= level || !claim.waits_for_others)?;
        match self.claims[place].need <= level {
            true => self.claims.remove(place),
            false => None,
        }
    }

    /// Asks the other holders for what the claims lack, and calls back what they have of the own part.
    fn gather(&mut self, now: Duration, cx: &mut AllowanceCx) {
        let first = self.claims.iter().filter(|claim| claim.first);
        let need: MicroTokens = first.map(|claim| claim.need).sum();
        let lacks = need.saturating_sub(self.bucket.level());
        let served_by_rate = time_for(lacks, self.bucket.part().rate) <= LeaseTerms::QUEUE;
        if served_by_rate || now < self.gather_after || self.is_gathering(now) {
            return;
        }
        self.gather_after = now + LeaseTerms::RECALL;
        for claim in &mut self.claims {
            claim.waits_for_others = claim.rounds > 0;
            claim.rounds = claim.rounds.saturating_sub(1);
        }
        let own = cx.vm.clone();
        self.call_back(now, &own, cx);
        for (to, _) in self.route.others.clone() {
            let awaited_until = now + cx.recall_wait();
            self.send_ask(now, &to, lacks, awaited_until, cx);
        }
    }

    /// Whether tokens of other holders may still come for claims that wait.
    fn is_gathering(&mut self, now: Duration) -> bool {
        self.asks.iter().any(|ask| now < ask.awaited_until) || self.lender.is_recalling(now)
    }

    /// Refuses the claims that the rate will not serve in time, but those for which the other holders can
    /// still be asked.
    fn refuse_hopeless(&mut self, now: Duration, cx: &mut AllowanceCx) {
        let rate = self.bucket.part().rate;
        let is_gathering = self.is_gathering(now);
        let may_gather = is_gathering || now >= self.gather_after;
        let mut ahead = 0;
        let mut hopeless = Vec::new();
        self.claims.retain(|claim| {
            let lacks = (ahead + claim.need).saturating_sub(self.bucket.level());
            let for_others =
                (is_gathering && claim.waits_for_others) || (may_gather && claim.rounds > 0);
            let by_rate = time_for(lacks, rate) <= LeaseTerms::QUEUE;
            let waits = now < claim.deadline && (for_others || by_rate);
            if waits {
                ahead += claim.need;
            } else {
                hopeless.push(claim.clone());
            }
            waits
        });
        for claim in hopeless {
            let retry_after = self.returns.next(now, claim.need, rate);
            self.answer_claim(now, &claim, 0, 0, retry_after, cx);
        }
    }

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
        if claim.from == cx.vm {
            let holder = claim.from.clone();
            let grant = HeldGrant {
                grant,
                holder,
                tokens,
            };
            self.take_grant(now, claim.claim, retry_after, grant, cx);
            return;
        }
        let action = AllowanceAction::Grant {
            claim: claim.claim,
            grant,
            retry_after,
            tokens,
        };
        cx.send(&claim.from, &self.workspace, action);
    }
}
