use super::*;

/// Allowance of one workspace that is in use on this VM.
#[derive(Debug)]
pub(crate) struct AllowanceShare {
    pub(crate) asks: Vec<OpenAsk>,
    pub(crate) borrowed: Vec<BorrowedLease>,
    pub(crate) bucket: TokenBucket,
    pub(crate) demand: DemandMeter,
    /// When the first of the borrowed leases ends.
    pub(crate) first_expiry: Duration,
    pub(crate) lender: AllowanceLender,
    /// Micro-tokens of reservations that are not settled.
    pub(crate) reserved: MicroTokens,
    /// Before it, requests that the own rate will serve do not ask again.
    pub(crate) rest_until: Duration,
    pub(crate) round: AskRound,
    pub(crate) route: AllowanceRoute,
    pub(crate) stock_after: Duration,
    pub(crate) tickets: VecDeque<AllowanceTicket>,
    /// When the share is next looked at.
    pub(crate) timer: Option<Duration>,
    pub(crate) used: Duration,
    pub(crate) whole: AllowancePart,
    pub(crate) workspace: WorkspaceId,
}

impl AllowanceShare {
    /// Share of a workspace that comes into use.
    pub(crate) fn new(
        now: Duration,
        workspace: WorkspaceId,
        route: AllowanceRoute,
        whole: AllowancePart,
        cx: &mut AllowanceCx,
    ) -> Self {
        Self {
            asks: Vec::new(),
            borrowed: Vec::new(),
            bucket: TokenBucket::new(now, cx.next()),
            demand: DemandMeter::default(),
            first_expiry: Duration::MAX,
            lender: AllowanceLender::default(),
            reserved: 0,
            rest_until: now,
            round: AskRound::Idle,
            route,
            stock_after: now,
            tickets: VecDeque::new(),
            timer: None,
            used: now,
            whole,
            workspace,
        }
    }

    /// Admits a request, or lets it wait while others are asked.
    pub(crate) fn admit(
        &mut self,
        now: Duration,
        tokens: Tokens,
        cx: &mut AllowanceCx,
    ) -> Admission {
        // A VM that was frozen past a lease's end must not spend it: the lender has it back.
        self.expire(now);
        self.bucket.advance(now);
        self.used = now;
        let need = tokens.saturating_mul(AllowancePart::SCALE);
        self.demand.add(now, need);
        if self.tickets.is_empty()
            && let Some(reservation) = self.reserve(tokens, cx)
        {
            self.ask_for_stock(now, cx);
            return Admission::Granted(reservation);
        }
        if need > self.whole.capacity {
            let retry_after = Duration::MAX;
            return Admission::Refused { retry_after };
        }
        let id = TicketId(cx.next());
        self.tickets.push_back(AllowanceTicket {
            deadline: now + cx.ticket_wait(),
            id,
            tokens,
        });
        self.pursue(now, cx);
        self.answer_at_once(id, cx)
    }

    /// Goes on with what waits: admits, asks the own holder, then the others, then refuses.
    pub(crate) fn pursue(&mut self, now: Duration, cx: &mut AllowanceCx) {
        self.expire(now);
        self.bucket.advance(now);
        loop {
            self.admit_waiting(cx);
            self.refuse_late(now, cx);
            let Some(last) = self.tickets.back() else {
                self.round = AskRound::Idle;
                return;
            };
            let last = last.id;
            if self.is_waiting_for_answer(now, cx) {
                return;
            }
            self.round = match self.round {
                AskRound::Idle if now < self.rest_until => return,
                AskRound::Idle => {
                    self.ask_own(now, cx);
                    AskRound::Own(last)
                }
                AskRound::Own(last) => {
                    self.ask_others(now, self.missing(), cx);
                    AskRound::Others(last)
                }
                AskRound::Others(last) => {
                    self.refuse_asked(now, last, cx);
                    AskRound::Idle
                }
            };
        }
    }

    /// Drops what has ended.
    pub(crate) fn expire(&mut self, now: Duration) {
        if self.first_expiry <= now {
            self.expire_borrowed(now);
        }
        self.lender.expire(now, &mut self.bucket);
    }

    fn expire_borrowed(&mut self, now: Duration) {
        self.borrowed.sort_by_key(|lease| lease.expires);
        let bucket = &mut self.bucket;
        self.borrowed.retain(|lease| {
            let lasts = now < lease.expires;
            if !lasts {
                // The rate counts until the end of the lease, not until it was noticed.
                bucket.take(lease.expires, lease.part, 0);
            }
            lasts
        });
        self.note_expiry();
    }

    /// Keeps the time of the first end up to date.
    pub(crate) fn note_expiry(&mut self) {
        let first = self.borrowed.iter().map(|lease| lease.expires).min();
        self.first_expiry = first.unwrap_or(Duration::MAX);
    }

    /// Ends a reservation of which `used` tokens were used.
    pub(crate) fn settle(&mut self, now: Duration, reservation: &Reservation, used: Tokens) {
        self.expire(now);
        let need = reservation.tokens.saturating_mul(AllowancePart::SCALE);
        let used = used.saturating_mul(AllowancePart::SCALE);
        self.reserved = self.reserved.saturating_sub(need);
        let unused = need.saturating_sub(used);
        self.bucket.refund(now, reservation.mark, unused);
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

    /// What operators see.
    pub(crate) fn status(&self) -> AllowanceStatus {
        AllowanceStatus {
            held: self.bucket.part(),
            level: self.bucket.level(),
            lent: self.lender.lent_total(),
            waiting: self.tickets.len(),
            workspace: self.workspace.clone(),
        }
    }

    fn reserve(&mut self, tokens: Tokens, cx: &mut AllowanceCx) -> Option<Reservation> {
        let need = tokens.saturating_mul(AllowancePart::SCALE);
        let mark = cx.next();
        if !self.bucket.reserve(mark, need) {
            return None;
        }
        self.reserved = self.reserved.saturating_add(need);
        Some(Reservation {
            mark,
            tokens,
            workspace: self.workspace.clone(),
        })
    }

    pub(crate) fn admit_waiting(&mut self, cx: &mut AllowanceCx) {
        while let Some(tokens) = self.tickets.front().map(|ticket| ticket.tokens)
            && let Some(reservation) = self.reserve(tokens, cx)
            && let Some(ticket) = self.tickets.pop_front()
        {
            cx.outputs.push(AllowanceOutput::Admitted {
                reservation,
                ticket: ticket.id,
            });
        }
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

    fn refuse_late(&mut self, now: Duration, cx: &mut AllowanceCx) {
        while self
            .tickets
            .front()
            .is_some_and(|ticket| ticket.deadline <= now)
        {
            self.refuse_front(cx);
        }
    }

    /// Refuses those that the holders were asked for, unless the own rate will serve them in time.
    fn refuse_asked(&mut self, now: Duration, last: TicketId, cx: &mut AllowanceCx) {
        while let Some(ticket) = self.tickets.front()
            && ticket.id <= last
        {
            let missing = ticket.need().saturating_sub(self.bucket.level());
            if now + time_for(missing, self.whole.rate) < ticket.deadline {
                self.rest_until = now + LeaseTerms::REST;
                return;
            }
            self.refuse_front(cx);
            self.admit_waiting(cx);
        }
    }

    fn refuse_front(&mut self, cx: &mut AllowanceCx) {
        let Some(ticket) = self.tickets.pop_front() else {
            return;
        };
        let missing = ticket.need().saturating_sub(self.bucket.level());
        cx.outputs.push(AllowanceOutput::Refused {
            retry_after: time_for(missing, self.whole.rate),
            ticket: ticket.id,
        });
    }
}
