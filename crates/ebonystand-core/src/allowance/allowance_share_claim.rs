//! Requests of a share: taking their tokens from the bucket or claiming them from holders.

use super::*;

impl AllowanceShare {
    /// Admits a request if the bucket holds its tokens; otherwise claims them from holders.
    pub(crate) fn admit(
        &mut self,
        now: Duration,
        tokens: Tokens,
        cx: &mut AllowanceCx,
    ) -> Admission {
        // A VM that was frozen past a lease's expiry must not spend it: the lender has reclaimed
        // it.
        self.expire(now, cx);
        self.bucket.advance(now);
        self.last_used = now;
        let need = tokens.saturating_mul(AllowancePart::SCALE);
        if need > self.total.capacity {
            let retry_after = Duration::MAX;
            return Admission::Refused { retry_after };
        }
        if self.claims.is_empty()
            && let Some(reservation) = self.reserve(tokens, cx)
        {
            self.demand.record(now, need);
            self.prefetch_leases(now, cx);
            return Admission::Granted(reservation);
        }
        let id = TicketId(cx.next_sequence());
        let round = match self.holders.own_region.is_none() || self.is_own_holder_silent {
            true => ClaimRound::AllHolders,
            false => ClaimRound::OwnHolder,
        };
        self.tickets.push_back(AllowanceTicket {
            deadline: now + cx.ticket_timeout(),
            id,
            is_answered: false,
            retry_after: Duration::MAX,
            round,
            tokens,
        });
        self.send_claims(now, id, self.holders_to_claim(round), need, cx);
        self.take_immediate_answer(id, cx)
    }

    /// Moves each waiting request on to the next round of claims, or refuses it after the last.
    pub(crate) fn advance_tickets(&mut self, now: Duration, cx: &mut AllowanceCx) {
        self.expire(now, cx);
        self.detect_silent_holder(now);
        let waiting: Vec<TicketId> = self.tickets.iter().map(|ticket| ticket.id).collect();
        for id in waiting {
            self.advance_ticket(now, id, cx);
        }
    }

    /// Handles a holder's answer to a claim. The request is admitted if its tokens were granted in
    /// time; otherwise granted tokens are returned and the request moves on to its next round of
    /// claims.
    pub(crate) fn handle_grant(
        &mut self,
        now: Duration,
        claim: AskId,
        retry_after: Duration,
        grant: HeldGrant,
        cx: &mut AllowanceCx,
    ) {
        let answered = |open: &OpenClaim| {
            claim.incarnation == cx.incarnation
                && open.sequence == claim.sequence
                && open.to == grant.holder
        };
        // A duplicated answer finds its claim closed. The tokens may have been spent since the
        // first answer, so the duplicate must grant none.
        let Some(index) = self.open_claims.iter().position(answered) else {
            return;
        };
        let OpenClaim {
            asked_at,
            ticket: id,
            ..
        } = self.open_claims.swap_remove(index);
        if self.own_holder() == Some(&grant.holder) {
            self.is_own_holder_silent = false;
        }
        // The term is counted from the claim. The holder counts it from the grant, which is later,
        // so the grant expires here first, however long the answer took.
        let until = asked_at + LeaseTerms::GRANT_TERM;
        match self.tickets.iter_mut().find(|ticket| ticket.id == id) {
            Some(_) if grant.tokens > 0 && now < until => self.admit_ticket(id, grant, cx),
            Some(ticket) => {
                // A grant that came too late says nothing of the time until the next.
                if grant.tokens == 0 {
                    ticket.retry_after = ticket.retry_after.min(retry_after);
                    ticket.is_answered = true;
                }
                self.return_grant(now, &grant, cx);
                self.advance_ticket(now, id, cx);
            }
            None => self.return_grant(now, &grant, cx),
        }
    }

    /// Forgets a waiting request whose caller has given up. A later grant for it is returned.
    pub(crate) fn cancel_ticket(&mut self, ticket: TicketId) {
        self.tickets.retain(|waiting| waiting.id != ticket);
    }

    /// Refuses all waiting requests.
    pub(crate) fn refuse_all_tickets(&mut self, retry_after: Duration, cx: &mut AllowanceCx) {
        let refused = self
            .tickets
            .drain(..)
            .map(|ticket| AllowanceOutput::Refused {
                retry_after,
                ticket: ticket.id,
            });
        cx.outputs.extend(refused);
    }

    /// Returns unspent tokens to the holder that granted them.
    pub(crate) fn return_grant(
        &mut self,
        now: Duration,
        unspent: &HeldGrant,
        cx: &mut AllowanceCx,
    ) {
        if unspent.tokens == 0 {
            return;
        }
        let refund = GrantRefund {
            grant: unspent.grant,
            sequence: cx.next_sequence(),
            tokens: unspent.tokens,
        };
        if unspent.holder == cx.vm {
            self.handle_refund(now, refund, cx);
        } else {
            let action = AllowanceAction::Refund(refund);
            cx.queue_item(&unspent.holder, &self.workspace, action);
        }
    }

    /// Forgets claims after twice [`LeaseTerms::GRANT_TERM`]. Until then, tokens that come too late
    /// to be spent are returned.
    pub(crate) fn drop_expired_claims(&mut self, now: Duration) {
        self.open_claims
            .retain(|claim| now < claim.asked_at + LeaseTerms::GRANT_TERM * 2);
    }

    /// Claims from the other holders once the own one is late, from all once more if none has
    /// answered, since a claim or its answer may be lost, and refuses the request at last.
    fn advance_ticket(&mut self, now: Duration, id: TicketId, cx: &mut AllowanceCx) {
        let is_awaited = |claim: &OpenClaim| claim.ticket == id && now < claim.awaited_until;
        let awaited = self.open_claims.iter().any(is_awaited);
        let Some(ticket) = self.tickets.iter_mut().find(|ticket| ticket.id == id) else {
            return;
        };
        if awaited && now < ticket.deadline {
            return;
        }
        let need = ticket.need();
        let may_repeat = ticket.round == ClaimRound::AllHolders && !ticket.is_answered;
        if now >= ticket.deadline || (ticket.round != ClaimRound::OwnHolder && !may_repeat) {
            self.refuse_ticket(id, cx);
            return;
        }
        if may_repeat {
            ticket.round = ClaimRound::Repeated;
            let mut to = self.holders_to_claim(ClaimRound::Repeated);
            to.retain(|(holder, _)| *holder != cx.vm);
            self.send_claims(now, id, to, need, cx);
            self.await_answers(id);
            return;
        }
        ticket.round = ClaimRound::AllHolders;
        self.await_answers(id);
        self.send_claims(now, id, self.holders.other_regions.clone(), need, cx);
    }

    /// Has a waiting request wait for all answers that running holders give.
    fn await_answers(&mut self, id: TicketId) {
        let open = self.open_claims.iter_mut();
        open.filter(|claim| claim.ticket == id)
            .for_each(|claim| claim.awaited_until = claim.awaited_until.max(claim.answered_by()));
    }

    /// Admits a waiting request with the tokens of a grant.
    fn admit_ticket(&mut self, id: TicketId, grant: HeldGrant, cx: &mut AllowanceCx) {
        let Some(ticket) = self.remove_ticket(id) else {
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

    /// Refuses a waiting request, with the shortest retry time that a holder gave.
    pub(crate) fn refuse_ticket(&mut self, id: TicketId, cx: &mut AllowanceCx) {
        let Some(ticket) = self.remove_ticket(id) else {
            return;
        };
        if !ticket.is_answered {
            cx.outputs.push(AllowanceOutput::Unanswered { ticket: id });
            return;
        }
        let by_rate = accrual_time(ticket.need(), self.total.rate);
        let by_holder = Some(ticket.retry_after).filter(|by_holder| *by_holder < Duration::MAX);
        cx.outputs.push(AllowanceOutput::Refused {
            retry_after: by_holder.unwrap_or(by_rate),
            ticket: id,
        });
    }

    /// Removes a waiting request.
    fn remove_ticket(&mut self, id: TicketId) -> Option<AllowanceTicket> {
        let index = self.tickets.iter().position(|ticket| ticket.id == id)?;
        self.tickets.remove(index)
    }

    /// Returns the answer directly if a request was decided while its claims were sent.
    fn take_immediate_answer(&self, id: TicketId, cx: &mut AllowanceCx) -> Admission {
        let index = cx.outputs.iter().position(|out| out.ticket() == Some(id));
        match index.map(|index| cx.outputs.remove(index)) {
            Some(AllowanceOutput::Admitted { reservation, .. }) => Admission::Granted(reservation),
            Some(AllowanceOutput::Refused { retry_after, .. }) => {
                Admission::Refused { retry_after }
            }
            _ => Admission::Waiting(id),
        }
    }

    /// Holders to claim from in a round, each with the longest time to wait for its answer.
    fn holders_to_claim(&self, round: ClaimRound) -> Vec<(VmId, Duration)> {
        let others = match round {
            ClaimRound::OwnHolder => &[],
            ClaimRound::AllHolders | ClaimRound::Repeated => self.holders.other_regions.as_slice(),
        };
        self.holders
            .own_region
            .iter()
            .chain(others)
            .cloned()
            .collect()
    }

    /// Claims a request's tokens from the holders in `to`, one of which may be this VM.
    fn send_claims(
        &mut self,
        now: Duration,
        ticket: TicketId,
        to: Vec<(VmId, Duration)>,
        need: MicroTokens,
        cx: &mut AllowanceCx,
    ) {
        // A claim sent again has a number of its own, so that a doubled answer to the first one
        // isn't taken for the answer to the second.
        let claim = AskId {
            incarnation: cx.incarnation,
            sequence: cx.next_sequence(),
        };
        for (holder, wait) in &to {
            self.open_claims.push(OpenClaim {
                asked_at: now,
                awaited_until: now + *wait,
                sequence: claim.sequence,
                ticket,
                to: holder.clone(),
            });
        }
        let first = self.first_holder().cloned();
        for (holder, _) in to {
            if holder == cx.vm {
                self.handle_claim(now, claim, holder, true, need, cx);
                continue;
            }
            let first = first.as_ref() == Some(&holder);
            let action = AllowanceAction::Claim { claim, first, need };
            cx.queue_item(&holder, &self.workspace, action);
        }
    }

    /// Holder that counts a request as demand of its region: the own one, or another if that is
    /// silent.
    fn first_holder(&self) -> Option<&VmId> {
        let own = self.own_holder().filter(|_| !self.is_own_holder_silent);
        own.or_else(|| self.holders.other_regions.first().map(|(holder, _)| holder))
    }

    /// Detects that the own region's holder has left a claim unanswered. Later requests are then
    /// claimed from the other holders at the same time.
    fn detect_silent_holder(&mut self, now: Duration) {
        let own = self.own_holder();
        self.is_own_holder_silent |= self
            .open_claims
            .iter()
            .any(|claim| Some(&claim.to) == own && claim.answered_by() <= now);
    }
}
