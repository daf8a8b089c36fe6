//! What a share does by itself as time passes.

use super::*;

impl AllowanceShare {
    /// Does what is due.
    pub(crate) fn tick(&mut self, now: Duration, cx: &mut AllowanceCx) {
        self.expire(now);
        self.forget_asks(now);
        self.renew(now, cx);
        self.serve(now, cx);
        self.pursue(now, cx);
    }

    /// Whether nothing is lost when it is dropped but the level of the own part.
    pub(crate) fn is_idle(&self, now: Duration) -> bool {
        now.saturating_sub(self.used) >= LeaseTerms::IDLE
            && self.asks.is_empty()
            && self.borrowed.is_empty()
            && self.lender.is_idle()
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
            .chain(self.tickets_deadline(now))
            .min()
    }

    fn tickets_deadline(&self, now: Duration) -> Option<Duration> {
        let front = self.tickets.front()?;
        let filled = self.bucket.time_until(front.need()).map(|wait| now + wait);
        let answers = self.asks.iter().map(|ask| ask.awaited_until).max();
        let rest = Some(self.rest_until);
        [
            filled,
            answers.filter(|at| *at > now),
            rest.filter(|at| *at > now),
        ]
        .into_iter()
        .flatten()
        .chain([front.deadline])
        .min()
    }
}
