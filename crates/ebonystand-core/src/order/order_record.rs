use super::*;

/// A journal's record of one order.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct OrderRecord {
    /// Hash of the order's request.
    pub(crate) body: BodyHash,
    /// Current or last holder.
    pub(crate) holder: OrderHolder,
    /// What the journal knows about the run of the order.
    pub(crate) state: OrderState,
}

impl OrderRecord {
    /// Records that the holder has not sent the order.
    ///
    /// Only the holder may abandon it. Otherwise an abandonment by an earlier attempt, delayed or
    /// duplicated, would free an order that another holder is sending, and the order would run
    /// twice.
    pub(crate) fn abandon(&mut self, body: BodyHash, holder: &OrderHolder) -> OrderOutcome {
        if self.body != body {
            return OrderOutcome::Conflict;
        }
        match self.state {
            OrderState::Abandoned => self.holder = holder.clone(),
            OrderState::Granted | OrderState::Unknown if self.holder == *holder => {
                self.state = OrderState::Abandoned;
            }
            _ => return self.outcome(),
        }
        OrderOutcome::Abandoned
    }

    /// Checks that `holder` may report an answer, or the lack of one, for this order.
    pub(crate) fn check_holder(&self, holder: &OrderHolder) -> Result<(), OrderStaleReason> {
        if self.holder != *holder {
            return Err(OrderStaleReason::NotHolder);
        }
        if self.state == OrderState::Abandoned {
            return Err(OrderStaleReason::Abandoned);
        }
        Ok(())
    }

    /// Grants the order to `holder` if it is free.
    ///
    /// A holder that has vanished keeps its grant for ever: it may have sent the order, or may be
    /// frozen just before sending it. No timeout can rule that out, so no timeout frees the order.
    pub(crate) fn grant(&mut self, body: BodyHash, holder: &OrderHolder) -> OrderOutcome {
        if self.body != body {
            return OrderOutcome::Conflict;
        }
        match self.state {
            OrderState::Abandoned if self.is_already_abandoned(holder) => {
                OrderOutcome::Stale(OrderStaleReason::Abandoned)
            }
            OrderState::Abandoned => {
                *self = Self::new_granted(body, holder);
                OrderOutcome::Granted
            }
            OrderState::Granted if self.holder == *holder => OrderOutcome::Granted,
            _ => self.outcome(),
        }
    }

    /// Creates the record of an order that is granted for the first time.
    pub(crate) fn new_granted(body: BodyHash, holder: &OrderHolder) -> Self {
        Self {
            body,
            holder: holder.clone(),
            state: OrderState::Granted,
        }
    }

    /// Returns whether a request for the grant comes from an attempt that has already abandoned the
    /// order. Such a request was delayed or duplicated and no caller waits for it, so a grant would
    /// block the order for good.
    fn is_already_abandoned(&self, holder: &OrderHolder) -> bool {
        self.holder.vm == holder.vm
            && self.holder.incarnation == holder.incarnation
            && holder.attempt <= self.holder.attempt
    }

    /// Returns the outcome for an attempt that doesn't hold the order.
    pub(crate) fn outcome(&self) -> OrderOutcome {
        match &self.state {
            OrderState::Abandoned => OrderOutcome::Abandoned,
            OrderState::AnswerDropped => OrderOutcome::AnswerDropped,
            OrderState::Answered(answer) => OrderOutcome::Answered(answer.clone()),
            OrderState::Granted => OrderOutcome::AlreadyGranted,
            OrderState::Unknown => OrderOutcome::Unknown,
        }
    }
}
