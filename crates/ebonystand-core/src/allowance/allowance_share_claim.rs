//! How a share gets the tokens of its requests from the holders.

use super::*;

impl AllowanceShare {
    /// Admits a request, or lets it wait while holders are asked.
    pub(crate) fn admit(
        &mut self,
        now: Duration,
        tokens: Tokens,
        cx: &mut AllowanceCx,
    ) -> Admission {
        // A VM that was frozen past a lease's end must not spend it: the lender has it back.
        self.expire(now, cx);
        self.bucket.advance(now);
        self.used = now;
        let need = tokens.saturating_mul(AllowancePart::SCALE);
        if need > self.whole.capacity {
            let retry_after = Duration::MAX;
            return Admission::Refused { retry_after };
        }
        if self.claims.is_empty()
            && let Some(reservation) = self.reserve(tokens, cx)
        {
            self.demand.add(now, need);
            self.ask_for_stock(now, cx);
            return Admission::Granted(reservation);
        }
        let id = TicketId(cx.next());
        let round = match self.route.own.is_none() || self.own_is_silent {
            true => ClaimRound::All,
            false => ClaimRound::Own,
        };
        self.tickets.push_back(AllowanceTicket {
            deadline: now + cx.ticket_wait(),
            id,
            retry_after: Duration::MAX,
            round,
            tokens,
        });
        self.claim(now, id, self.holders(round), need, cx);
        self.answer_at_once(id, cx)
    }

    /// Goes on with what waits: admits, asks the other holders, then refuses.
    pub(crate) fn pursue(&mut self, now: Duration, cx: &mut AllowanceCx) {
        self.expire(now, cx);
        self.note_silence(now);
        let waiting: Vec<TicketId> = self.tickets.iter().map(|ticket| ticket.id).collect();
        for id in waiting {
            self.pursue_ticket(now, id, cx);
        }
    }

    /// Takes the answer to a claim.
    pub(crate) fn take_grant(
        &mut self,
        now: Duration,
        claim: AskId,
        retry_after: Duration,
        grant: HeldGrant,
        cx: &mut AllowanceCx,
    ) {
        let answered = |open: &OpenClaim| {
            claim.incarnation == cx.incarnation
                && open.ticket.0 == claim.sequence
                && open.to == grant.holder
        };
        // A duplicate finds its claim closed. It must bring nothing: the tokens may be spent.
        let Some(place) = self.open_claims.iter().position(answered) else {
            return;
        };
        let asked_at = self.open_claims.swap_remove(place).asked_at;
        if self.own_holder() == Some(&grant.holder) {
            self.own_is_silent = false;
        }
        // Counted from the claim: the holder counts from the grant, which is later.
        let until = asked_at + LeaseTerms::GRANT;
        let id = TicketId(claim.sequence);
        match self.tickets.iter_mut().find(|ticket| ticket.id == id) {
            Some(_) if grant.tokens > 0 && now < until => self.admit_ticket(id, grant, cx),
            Some(ticket) => {
                ticket.retry_after = ticket.retry_after.min(retry_after);
                self.refund(now, &grant, cx);
                self.pursue_ticket(now, id, cx);
            }
            None => self.refund(now, &grant, cx),
        }
    }

    /// Gives up a waiting request.
    pub(crate) fn cancel(&mut self, ticket: TicketId) {
        self.tickets.retain(|waiting| waiting.id != ticket);
    }

    /// Refuses all that waits.
    pub(crate) fn refuse_all(&mut self, retry_after: Duration, cx: &mut AllowanceCx) {
        let refused = self
            .tickets
            .drain(..)
            .map(|ticket| AllowanceOutput::Refused {
                retry_after,
                ticket: ticket.id,
            });
        cx.outputs.extend(refused);
    }

    /// Gives tokens back to the holder that granted them.
    pub(crate) fn refund(&mut self, now: Duration, unspent: &HeldGrant, cx: &mut AllowanceCx) {
        if unspent.tokens == 0 {
            return;
        }
        let refund = GrantRefund {
            grant: unspent.grant,
            sequence: cx.next(),
            tokens: unspent.tokens,
        };
        if unspent.holder == cx.vm {
            self.take_refund(now, refund, cx);
        } else {
            let action = AllowanceAction::Refund(refund);
            cx.send(&unspent.holder, &self.workspace, action);
        }
    }

    /// Drops claims that will not be answered. An answer that comes too late is still given back.
    pub(crate) fn forget_claims(&mut self, now: Duration) {
        self.open_claims
            .retain(|claim| now < claim.asked_at + LeaseTerms::GRANT * 2);
    }

    fn pursue_ticket(&mut self, now: Duration, id: TicketId, cx: &mut AllowanceCx) {
        let is_awaited = |claim: &OpenClaim| claim.ticket == id && now < claim.awaited_until;
        let awaited = self.open_claims.iter().any(is_awaited);
        let Some(ticket) = self.tickets.iter_mut().find(|ticket| ticket.id == id) else {
            return;
        };
        if awaited && now < ticket.deadline {
            return;
        }
        if now >= ticket.deadline || ticket.round == ClaimRound::All {
            self.refuse_ticket(id, cx);
            return;
        }
        ticket.round = ClaimRound::All;
        let need = ticket.need();
        let open = self.open_claims.iter_mut();
        open.filter(|claim| claim.ticket == id)
            .for_each(|claim| claim.awaited_until = claim.answered_by());
        self.claim(now, id, self.route.others.clone(), need, cx);
    }

    fn admit_ticket(&mut self, id: TicketId, grant: HeldGrant, cx: &mut AllowanceCx) {
        let Some(ticket) = self.take_ticket(id) else {
            return;
        };
        self.reserved = self.reserved.saturating_add(ticket.need());
        let reservation = Reservation {
            grant: Some(grant),
            mark: 0,
            tokens: ticket.tokens,
            workspace: self.workspace.clone(),
        };
        cx.outputs.push(AllowanceOutput::Admitted {
            reservation,
            ticket: id,
        });
    }

    fn refuse_ticket(&mut self, id: TicketId, cx: &mut AllowanceCx) {
        let Some(ticket) = self.take_ticket(id) else {
            return;
        };
        let by_rate = time_for(ticket.need(), self.whole.rate);
        let told = Some(ticket.retry_after).filter(|told| *told < Duration::MAX);
        cx.outputs.push(AllowanceOutput::Refused {
            retry_after: told.unwrap_or(by_rate),
            ticket: id,
        });
    }

    fn take_ticket(&mut self, id: TicketId) -> Option<AllowanceTicket> {
        let place = self.tickets.iter().position(|ticket| ticket.id == id)?;
        self.tickets.remove(place)
    }

    /// Turns the answer to a request that need not wait after all into a direct one.
    fn answer_at_once(&self, id: TicketId, cx: &mut AllowanceCx) -> Admission {
        let place = cx.outputs.iter().position(|out| out.ticket() == Some(id));
        match place.map(|place| cx.outputs.remove(place)) {
            Some(AllowanceOutput::Admitted { reservation, .. }) => Admission::Granted(reservation),
            Some(AllowanceOutput::Refused { retry_after, .. }) => {
                Admission::Refused { retry_after }
            }
            _ => Admission::Waiting(id),
        }
    }

    /// Holders to ask in a round, with the time that their answers take at most.
    fn holders(&self, round: ClaimRound) -> Vec<(VmId, Duration)> {
        let others = match round {
            ClaimRound::Own => &[],
            ClaimRound::All => self.route.others.as_slice(),
        };
        self.route.own.iter().chain(others).cloned().collect()
    }

    fn claim(
        &mut self,
        now: Duration,
        ticket: TicketId,
        to: Vec<(VmId, Duration)>,
        need: MicroTokens,
        cx: &mut AllowanceCx,
    ) {
        let claim = AskId {
            incarnation: cx.incarnation,
            sequence: ticket.0,
        };
        for (holder, wait) in &to {
            self.open_claims.push(OpenClaim {
                asked_at: now,
                awaited_until: now + *wait,
                ticket,
                to: holder.clone(),
            });
        }
        let first = self.first_holder().cloned();
        for (holder, _) in to {
            if holder == cx.vm {
                self.take_claim(now, claim, holder, true, need, cx);
                continue;
            }
            let first = first.as_ref() == Some(&holder);
            let action = AllowanceAction::Claim { claim, first, need };
            cx.send(&holder, &self.workspace, action);
        }
    }

    /// The holder that is to count a request among the demand of its region.
    fn first_holder(&self) -> Option<&VmId> {
        let own = self.own_holder().filter(|_| !self.own_is_silent);
        own.or_else(|| self.route.others.first().map(|(holder, _)| holder))
    }

    /// Notes that the holder of the own region has left a claim unanswered: what comes next is claimed
    /// from the others at the same time.
    fn note_silence(&mut self, now: Duration) {
        let own = self.own_holder();
        self.own_is_silent |= self
            .open_claims
            .iter()
            .any(|claim| Some(&claim.to) == own && claim.answered_by() <= now);
    }
}
