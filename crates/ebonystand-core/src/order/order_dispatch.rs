use super::*;

/// One request for an order at one VM, from the grant to the stored answer.
///
/// Call [`poll`](Self::poll) at once and whenever [`wake`](Self::wake) is due. It lives on after
/// the caller is answered, until the journal has what became of the order.
#[derive(Debug)]
pub struct OrderDispatch {
    asked: u32,
    holder: OrderHolder,
    phase: OrderPhase,
    replied: bool,
    req: OrderRequest,
    resend_at: Duration,
}

impl OrderDispatch {
    /// Wait before a command is proposed again, doubled each time up to [`Self::RESEND_AT_MOST`].
    pub const INITIAL_RESEND_DELAY: Duration = Duration::from_millis(400);
    /// Longest wait before a command is proposed again.
    pub const MAX_RESEND_DELAY: Duration = Duration::from_secs(5);
    /// Time after the caller's reply for which the journal is still told. After it an unsettled
    /// order stays granted, and callers hear `unknown`.
    pub const SETTLE_TIMEOUT: Duration = Duration::from_secs(60);

    /// A request by a holder drawn for it alone.
    ///
    /// # Errors
    ///
    /// A [`Refusal`] if the key is malformed or minted in the future; nothing was asked for.
    pub fn new(
        req: OrderRequest,
        holder: OrderHolder,
        limits: &OrderLimits,
    ) -> Result<Self, Refusal> {
        let parts = OrderKeyParts::parse(&req.id.key).map_err(|fault| fault.refusal())?;
        if parts.minted > req.received_at.saturating_add(limits.skew.as_secs()) {
            return Err(OrderKeyError::Early.refusal());
        }
        Ok(Self {
            asked: 0,
            holder,
            phase: OrderPhase::Asking,
            replied: false,
            req,
            resend_at: Duration::ZERO,
        })
    }

    /// The upstream has answered, whole.
    pub fn record_answer(
        &mut self,
        now: Duration,
        sending: InFlightOrder,
        answer: OrderAnswer,
    ) -> Vec<OrderAction> {
        let InFlightOrder { holder, .. } = sending;
        if !self.takes_back(&holder) {
            return Vec::new();
        }
        let reply = OrderReply::Answer {
            answer: answer.clone(),
            replayed: false,
        };
        let mut actions = self.reply(reply);
        actions.extend(self.enter(now, OrderPhase::Storing(answer)));
        actions
    }

    /// The caller has left; an order that is not granted yet need not run.
    pub fn cancel(&mut self, now: Duration) -> Vec<OrderAction> {
        self.replied = true;
        match self.phase {
            OrderPhase::Asking => self.enter(now, OrderPhase::Abandoning { granted: false }),
            _ => Vec::new(),
        }
    }

    /// Who asks.
    #[must_use]
    pub fn holder(&self) -> &OrderHolder {
        &self.holder
    }

    /// Whether it needs no more calls.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.phase == OrderPhase::Closed
    }

    /// Takes what became of a command that it proposed.
    pub fn handle_outcome(&mut self, now: Duration, outcome: &OrderOutcome) -> Vec<OrderAction> {
        match &self.phase {
            OrderPhase::Abandoning { granted } => self.outcome_of_abandon(*granted, outcome),
            OrderPhase::Asking => self.outcome_of_ask(now, outcome),
            OrderPhase::Closed | OrderPhase::Permitted => Vec::new(),
            OrderPhase::Marking => self.close_if(matches!(
                outcome,
                OrderOutcome::Unknown | OrderOutcome::Stale(_)
            )),
            OrderPhase::Storing(_) => self.close_if(matches!(
                outcome,
                OrderOutcome::AnswerDropped | OrderOutcome::Stale(_) | OrderOutcome::Stored
            )),
        }
    }

    /// Does what is due.
    pub fn poll(&mut self, now: Duration) -> Vec<OrderAction> {
        let mut actions = Vec::new();
        if now >= self.req.reply_by {
            actions.extend(self.reply(OrderReply::late()));
        }
        if self.phase == OrderPhase::Asking && now >= self.req.dispatch_by {
            actions.extend(self.enter(now, OrderPhase::Abandoning { granted: false }));
        }
        if self.phase != OrderPhase::Permitted && now >= self.req.reply_by + Self::SETTLE_TIMEOUT {
            self.phase = OrderPhase::Closed;
        }
        if now >= self.resend_at {
            actions.extend(self.propose(now));
        }
        actions
    }

    /// The order was sent, wholly or in part, and no answer will come.
    pub fn record_no_answer(&mut self, now: Duration, sending: InFlightOrder) -> Vec<OrderAction> {
        let InFlightOrder { holder, .. } = sending;
        if !self.takes_back(&holder) {
            return Vec::new();
        }
        let mut actions = self.reply(OrderReply::Refusal(OrderReply::unanswered()));
        actions.extend(self.enter(now, OrderPhase::Marking));
        actions
    }

    /// Nothing was sent, nor will be. The caller hears `not_run` once that is durable.
    pub fn record_unsent(&mut self, now: Duration, unsent: UnsentOrder) -> Vec<OrderAction> {
        let UnsentOrder { holder } = unsent;
        if !self.takes_back(&holder) {
            return Vec::new();
        }
        self.enter(now, OrderPhase::Abandoning { granted: true })
    }

    /// Moment of the next [`poll`](Self::poll); `None` once closed.
    #[must_use]
    pub fn next_poll(&self) -> Option<Duration> {
        let next = match self.phase {
            OrderPhase::Asking => self.resend_at.min(self.req.dispatch_by),
            OrderPhase::Closed => return None,
            OrderPhase::Permitted => Duration::MAX,
            _ => self.resend_at,
        };
        Some(if self.replied {
            next
        } else {
            next.min(self.req.reply_by)
        })
    }

    fn close(&mut self, reply: OrderReply) -> Vec<OrderAction> {
        self.phase = OrderPhase::Closed;
        self.reply(reply)
    }

    fn close_if(&mut self, done: bool) -> Vec<OrderAction> {
        if done {
            self.phase = OrderPhase::Closed;
        }
        Vec::new()
    }

    fn command(&self) -> Option<OrderCommand> {
        let (body, holder, id) = (self.req.body_hash, self.holder.clone(), self.req.id.clone());
        match &self.phase {
            OrderPhase::Abandoning { .. } => Some(OrderCommand::Abandon { body, holder, id }),
            OrderPhase::Asking => Some(OrderCommand::Grant {
                at: self.req.received_at,
                body,
                holder,
                id,
            }),
            OrderPhase::Closed | OrderPhase::Permitted => None,
            OrderPhase::Marking => Some(OrderCommand::MarkUnknown { holder, id }),
            OrderPhase::Storing(answer) => Some(OrderCommand::Answer {
                answer: answer.clone(),
                holder,
                id,
            }),
        }
    }

    fn enter(&mut self, now: Duration, phase: OrderPhase) -> Vec<OrderAction> {
        self.asked = 0;
        self.phase = phase;
        self.propose(now).into_iter().collect()
    }

    /// A grant that was asked for earlier may still be known or come to be: the caller is told
    /// what the abandonment found. A late `Granted` is passed over; the abandonment follows it in
    /// the log or goes before it, and either way the order was not sent.
    fn outcome_of_abandon(&mut self, granted: bool, outcome: &OrderOutcome) -> Vec<OrderAction> {
        let settles = match outcome {
            OrderOutcome::Abandoned | OrderOutcome::Expired => true,
            _ => !granted,
        };
        match OrderReply::of(outcome) {
            Some(reply) if settles => self.close(reply),
            _ => Vec::new(),
        }
    }

    fn outcome_of_ask(&mut self, now: Duration, outcome: &OrderOutcome) -> Vec<OrderAction> {
        match outcome {
            OrderOutcome::Granted => {
                self.phase = OrderPhase::Permitted;
                vec![OrderAction::Dispatch(OrderPermit {
                    dispatch_by: self.req.dispatch_by,
                    holder: self.holder.clone(),
                    id: self.req.id.clone(),
                })]
            }
            // A second ask, still on its way, may find room: it must not leave a grant behind.
            OrderOutcome::Full if self.asked > 1 => {
                self.enter(now, OrderPhase::Abandoning { granted: false })
            }
            OrderOutcome::Abandoned => Vec::new(),
            _ => OrderReply::of(outcome).map_or_else(Vec::new, |reply| self.close(reply)),
        }
    }

    fn propose(&mut self, now: Duration) -> Option<OrderAction> {
        let command = self.command()?;
        let wait = Self::INITIAL_RESEND_DELAY * 2_u32.saturating_pow(self.asked.min(8));
        self.asked += 1;
        self.resend_at = now + wait.min(Self::MAX_RESEND_DELAY);
        Some(OrderAction::Propose(command))
    }

    fn reply(&mut self, reply: OrderReply) -> Vec<OrderAction> {
        if self.replied {
            return Vec::new();
        }
        self.replied = true;
        vec![OrderAction::Reply(reply)]
    }

    /// Whether a token is the one that is out. One of another request must not settle this one.
    fn takes_back(&self, holder: &OrderHolder) -> bool {
        self.phase == OrderPhase::Permitted && self.holder == *holder
    }
}
