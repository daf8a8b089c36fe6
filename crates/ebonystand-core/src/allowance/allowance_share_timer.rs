//! Timers of a share.

use super::*;

impl AllowanceShare {
    /// Expires leases and grants, renews leases, and moves waiting claims and requests on.
    pub(crate) fn tick(&mut self, now: Duration, cx: &mut AllowanceCx) {
        self.expire(now, cx);
        self.drop_expired_asks(now);
        self.renew_leases(now, cx);
        self.serve_claims(now, cx);
        self.advance_tickets(now, cx);
        self.drop_expired_claims(now);
    }

    /// Whether the share can be dropped without losing anything but the level of the own part,
    /// which the plan keeps.
    pub(crate) fn is_idle(&self, now: Duration) -> bool {
        now.saturating_sub(self.last_used) >= LeaseTerms::IDLE_TIMEOUT
            && self.asks.is_empty()
            && self.borrowed.is_empty()
            && self.claims.is_empty()
            && self.grants.is_empty()
            && self.lender.has_no_leases()
            && self.open_claims.is_empty()
            && self.reserved == 0
            && self.tickets.is_empty()
    }

    /// Earliest time at which [`Self::tick`] has something to do.
    pub(crate) fn deadline(&self, now: Duration) -> Option<Duration> {
        let forget = self
            .asks
            .first()
            .map(|ask| ask.asked_at + LeaseTerms::BORROWER_TERM);
        let renew = self.borrowed.iter().map(|lease| lease.renew_at).min();
        let expiry = self.borrowed.iter().map(|lease| lease.expires_at).min();
        let idle = (self.reserved == 0).then_some(self.last_used + LeaseTerms::IDLE_TIMEOUT);
        [forget, renew, expiry, idle.filter(|at| *at > now)]
            .into_iter()
            .flatten()
            .chain(self.lender.deadline())
            .chain(self.grants.deadline())
            .chain(self.claims_deadline(now))
            .chain(self.tickets_deadline(now))
            .min()
    }

    /// Earliest time at which a waiting request or an open claim needs attention.
    fn tickets_deadline(&self, now: Duration) -> Option<Duration> {
        let deadlines = self.tickets.iter().map(|ticket| ticket.deadline);
        let answers = self.open_claims.iter().map(|claim| {
            let forgotten = claim.asked_at + LeaseTerms::GRANT_TERM * 2;
            Some(claim.awaited_until)
                .filter(|at| *at > now)
                .unwrap_or(forgotten)
        });
        deadlines.chain(answers).min()
    }
}
