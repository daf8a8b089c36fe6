use super::*;

/// State machine of one request for an order on one VM, from the grant to the stored answer.
///
/// The driver calls [`poll`](Self::poll) at once and whenever [`poll_at`](Self::poll_at) is due.
/// The state machine remains active after the caller has its reply, until the journal has recorded
/// what happened to the order.
#[derive(Debug)]
pub struct OrderDispatch {
    /// Number of times the current command was proposed.
    proposal_count: u32,
    holder: OrderHolder,
    phase: OrderPhase,
    /// Whether the caller has a reply or has disconnected.
    replied: bool,
    req: OrderRequest,
    /// When the current command is proposed again.
    resend_at: Duration,
}

impl OrderDispatch {
    /// Delay before a command is first proposed again. It doubles with each proposal, up to
    /// [`Self::MAX_RESEND_DELAY`].
    pub const INITIAL_RESEND_DELAY: Duration = Duration::from_millis(400);
    /// Longest delay before a command is proposed again.
    pub const MAX_RESEND_DELAY: Duration = Duration::from_secs(5);
    /// Time after the caller's reply deadline during which proposals to the journal continue. An
    /// order that isn't settled by then stays granted, and callers get the run state `unknown`.
    pub const SETTLE_TIMEOUT: Duration = Duration::from_secs(60);

    /// Creates the state machine of a request. `holder` must have been created for this request
    /// alone.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] if the key is malformed or minted in the future. Nothing has been
    /// proposed then.
    pub fn new(
        req: OrderRequest,
        holder: OrderHolder,
        limits: &OrderLimits,
    ) -> Result<Self, Refusal> {
        let parts = OrderKeyParts::parse(&req.id.key).map_err(|fault| fault.refusal())?;
        if parts.minted > req.received_at.saturating_add(limits.skew.as_secs()) {
            return Err(OrderKeyError::InFuture.refusal());
        }
        Ok(Self {
            proposal_count: 0,
            holder,
            phase: OrderPhase::AwaitingGrant,
            replied: false,
            req,
            resend_at: Duration::ZERO,
        })
    }

    /// Records the complete answer of the upstream, replies with it and proposes to store it.
    pub fn record_answer(
        &mut self,
        now: Duration,
        order: InFlightOrder,
        answer: OrderAnswer,
    ) -> Vec<OrderAction> {
        let InFlightOrder { holder, .. } = order;
        if !self.is_outstanding(&holder) {
            return Vec::new();
        }
        let reply = OrderReply::Answer {
            answer: answer.clone(),
            replayed: false,
        };
        let mut actions = self.reply_once(reply);
        actions.extend(self.enter(now, OrderPhase::StoringAnswer(answer)));
        actions
    }

    /// Records that the caller has disconnected. The order is abandoned if its grant has not
    /// arrived yet. Otherwise the request continues until the journal has recorded what happened to
    /// the order.
    pub fn cancel(&mut self, now: Duration) -> Vec<OrderAction> {
        self.replied = true;
        match self.phase {
            OrderPhase::AwaitingGrant => self.enter(now, OrderPhase::Abandoning { granted: false }),
            _ => Vec::new(),
        }
    }

    /// Returns the holder that the grant of the order is requested for.
    #[must_use]
    pub fn holder(&self) -> &OrderHolder {
        &self.holder
    }

    /// Returns whether this request has finished and needs no further calls.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.phase == OrderPhase::Closed
    }

    /// Handles the outcome of a command that this state machine proposed.
    pub fn handle_outcome(&mut self, now: Duration, outcome: &OrderOutcome) -> Vec<OrderAction> {
        match &self.phase {
            OrderPhase::Abandoning { granted } => self.handle_abandon_outcome(*granted, outcome),
            OrderPhase::AwaitingGrant => self.handle_grant_outcome(now, outcome),
            OrderPhase::Closed | OrderPhase::Permitted => Vec::new(),
            OrderPhase::MarkingUnknown => self.close_if(matches!(
                outcome,
                OrderOutcome::Unknown | OrderOutcome::Stale(_)
            )),
            OrderPhase::StoringAnswer(_) => self.close_if(matches!(
                outcome,
                OrderOutcome::AnswerDropped | OrderOutcome::Stale(_) | OrderOutcome::Stored
            )),
        }
    }

    /// Handles the deadlines and resends that are due at `now`.
    pub fn poll(&mut self, now: Duration) -> Vec<OrderAction> {
        let mut actions = Vec::new();
        if now >= self.req.reply_by {
            actions.extend(self.reply_once(OrderReply::deadline_passed()));
        }
        if self.phase == OrderPhase::AwaitingGrant && now >= self.req.dispatch_by {
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

    /// Records that the order was sent, at least in part, and that no answer will arrive.
    pub fn record_no_answer(&mut self, now: Duration, order: InFlightOrder) -> Vec<OrderAction> {
        let InFlightOrder { holder, .. } = order;
        if !self.is_outstanding(&holder) {
            return Vec::new();
        }
        let mut actions = self.reply_once(OrderReply::Refusal(OrderReply::no_answer_refusal()));
        actions.extend(self.enter(now, OrderPhase::MarkingUnknown));
        actions
    }

    /// Records that the order wasn't sent and won't be. The caller gets the run state `not_run`
    /// once that is durable.
    pub fn record_unsent(&mut self, now: Duration, order: UnsentOrder) -> Vec<OrderAction> {
        let UnsentOrder { holder } = order;
        if !self.is_outstanding(&holder) {
            return Vec::new();
        }
        self.enter(now, OrderPhase::Abandoning { granted: true })
    }

    /// Returns when [`poll`](Self::poll) must be called next; `None` if the state machine is
    /// closed.
    #[must_use]
    pub fn poll_at(&self) -> Option<Duration> {
        let next = match self.phase {
            OrderPhase::AwaitingGrant => self.resend_at.min(self.req.dispatch_by),
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
        self.reply_once(reply)
    }

    fn close_if(&mut self, done: bool) -> Vec<OrderAction> {
        if done {
            self.phase = OrderPhase::Closed;
        }
        Vec::new()
    }

    /// Returns the command that the current phase needs the journal to apply.
    fn current_command(&self) -> Option<OrderCommand> {
        let (body, holder, id) = (self.req.body_hash, self.holder.clone(), self.req.id.clone());
        match &self.phase {
            OrderPhase::Abandoning { .. } => Some(OrderCommand::Abandon { body, holder, id }),
            OrderPhase::AwaitingGrant => Some(OrderCommand::Grant {
                at: self.req.received_at,
                body,
                holder,
                id,
            }),
            OrderPhase::Closed | OrderPhase::Permitted => None,
            OrderPhase::MarkingUnknown => Some(OrderCommand::MarkUnknown { holder, id }),
            OrderPhase::StoringAnswer(answer) => Some(OrderCommand::Answer {
                answer: answer.clone(),
                holder,
                id,
            }),
        }
    }

    /// Enters a phase and proposes its command.
    fn enter(&mut self, now: Duration, phase: OrderPhase) -> Vec<OrderAction> {
        self.proposal_count = 0;
        self.phase = phase;
        self.propose(now).into_iter().collect()
    }

    /// Handles the outcome of an abandonment.
    ///
    /// A grant requested earlier may already be known or may still arrive, so the caller is told
    /// what the abandonment found. A late `Granted` is ignored: whether the abandonment follows the
    /// grant in the log or precedes it, the order was not sent.
    fn handle_abandon_outcome(
        &mut self,
        granted: bool,
        outcome: &OrderOutcome,
    ) -> Vec<OrderAction> {
        let settles = match outcome {
            OrderOutcome::Abandoned | OrderOutcome::Expired => true,
            _ => !granted,
        };
        match OrderReply::from_outcome(outcome) {
            Some(reply) if settles => self.close(reply),
            _ => Vec::new(),
        }
    }

    /// Handles the outcome of a request for the grant.
    fn handle_grant_outcome(&mut self, now: Duration, outcome: &OrderOutcome) -> Vec<OrderAction> {
        match outcome {
            OrderOutcome::Granted => {
                self.phase = OrderPhase::Permitted;
                vec![OrderAction::Dispatch(OrderPermit {
                    dispatch_by: self.req.dispatch_by,
                    holder: self.holder.clone(),
                    id: self.req.id.clone(),
                })]
            }
            // Another request for the grant, still on its way, may find room in the journal.
            // Abandoning the order keeps it from leaving a grant behind.
            OrderOutcome::Full if self.proposal_count > 1 => {
                self.enter(now, OrderPhase::Abandoning { granted: false })
            }
            OrderOutcome::Abandoned => Vec::new(),
            _ => OrderReply::from_outcome(outcome).map_or_else(Vec::new, |reply| self.close(reply)),
        }
    }

    /// Proposes the current command and schedules the next proposal of it.
    fn propose(&mut self, now: Duration) -> Option<OrderAction> {
        let command = self.current_command()?;
        let wait = Self::INITIAL_RESEND_DELAY * 2_u32.saturating_pow(self.proposal_count.min(8));
        self.proposal_count += 1;
        self.resend_at = now + wait.min(Self::MAX_RESEND_DELAY);
        Some(OrderAction::Propose(command))
    }

    /// Replies to the caller unless it has a reply or has disconnected.
    fn reply_once(&mut self, reply: OrderReply) -> Vec<OrderAction> {
        if self.replied {
            return Vec::new();
        }
        self.replied = true;
        vec![OrderAction::Reply(reply)]
    }

    /// Returns whether the permit of this request was handed out under `holder` and its result is
    /// still missing. A result under the holder of another request must not settle this one.
    fn is_outstanding(&self, holder: &OrderHolder) -> bool {
        self.phase == OrderPhase::Permitted && self.holder == *holder
    }
}
