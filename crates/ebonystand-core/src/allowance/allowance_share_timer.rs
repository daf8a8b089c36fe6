//! What a share does by itself as time passes.

use super::*;

impl AllowanceShare {
    /// Does what is due.
    pub(crate) fn tick(&mut self, now: Duration, cx: &mut AllowanceCx) {
        self.expire(now, cx);
        self.forget_asks(now);
        self.renew(now, cx);
        self.serve_claims(now, cx);
        self.pursue(now, cx);
        self.forget_claims(now);
    }

    /// Whether nothing is lost when it is dropped but the level of the own part.
    pub(crate) fn is_idle(&self, now: Duration) -> bool {
        now.saturating_sub(self.used) >= LeaseTerms::IDLE
            && self.asks.is_empty()
            && self.borrowed.is_empty()
            && self.claims.is_empty()
            && self.grants.is_empty()
            && self.lender.is_idle()
            && self.open_claims.is_empty()
            && self.reserved == 0
            && self.tickets.is_empty()
    }

    /// When it is to be ticked next.
    pub(crate) fn deadline(&self, now: Duration) -> Option<Duration> {
        let forget = self
            .asks
            .first()
            .map(|ask| ask.asked_at + LeaseTerms::LENGTH);
        let renew = self.borrowed.iter().map(|lease| lease.renew_at).min();
        let expiry = self.borrowed.iter().map(|lease| lease.expires).min();
        let idle = (self.reserved == 0).then_some(self.used + LeaseTerms::IDLE);
        [forget, renew, expiry, idle.filter(|at| *at > now)]
            .into_iter()
            .flatten()
            .chain(self.lender.deadline())
            .chain(self.grants.deadline())
            .chain(self.claims_deadline(now))
            .chain(self.tickets_deadline(now))
            .min()
    }

    fn tickets_deadline(&self, now: Duration) -> Option<Duration> {
        let deadlines = self.tickets.iter().map(|ticket| ticket.deadline);
        let answers = self.open_claims.iter().map(|claim| {
            let forgotten = claim.asked_at + LeaseTerms::GRANT * 2;
            Some(claim.awaited_until)
                .filter(|at| *at > now)
                .unwrap_or(forgotten)
        });
        deadlines.chain(answers).min()
    }
}
