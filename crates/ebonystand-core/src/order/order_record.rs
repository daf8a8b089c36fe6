use super::*;

/// What a journal knows of one order.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct OrderRecord {
    /// What it asks for.
    pub(crate) body: BodyHash,
    /// Who holds it, or held it last.
    pub(crate) holder: OrderHolder,
    /// How far it has come.
    pub(crate) state: OrderState,
}

impl OrderRecord {
    /// The holder says that it sent nothing.
    ///
    /// Only the holder may say so. An abandonment of an earlier attempt, late or sent twice,
    /// would free an order that another holder is sending: it would run twice.
    pub(crate) fn abandon(&mut self, body: BodyHash, holder: &OrderHolder) -> OrderOutcome {
        if self.body != body {
            return OrderOutcome::Conflict;
        }
        match self.state {
            OrderState::Abandoned => self.holder = holder.clone(),
            OrderState::Granted | OrderState::Unknown if self.holder == *holder => {
                self.state = OrderState::Abandoned;
            }
            _ => return self.report(),
        }
        OrderOutcome::Abandoned
    }

    /// Whether an answer or a lack of one that `holder` tells concerns this order.
    pub(crate) fn check(&self, holder: &OrderHolder) -> Result<(), OrderStaleReason> {
        if self.holder != *holder {
            return Err(OrderStaleReason::Holder);
        }
        if self.state == OrderState::Abandoned {
            return Err(OrderStaleReason::Abandoned);
        }
        Ok(())
    }

    /// The holder asks for a grant.
    ///
    /// A holder that has vanished keeps its grant for ever: it may have sent the order, or be
    /// frozen just before it. No wait is long enough to tell, so no wait frees the order.
    pub(crate) fn grant(&mut self, body: BodyHash, holder: &OrderHolder) -> OrderOutcome {
        if self.body != body {
            return OrderOutcome::Conflict;
        }
        match self.state {
            OrderState::Abandoned if self.outlived(holder) => {
                OrderOutcome::Stale(OrderStaleReason::Abandoned)
            }
            OrderState::Abandoned => {
                *self = Self::granted(body, holder);
                OrderOutcome::Granted
            }
            OrderState::Granted if self.holder == *holder => OrderOutcome::Granted,
            _ => self.report(),
        }
    }

    /// A record of an order that is granted for the first time.
    pub(crate) fn granted(body: BodyHash, holder: &OrderHolder) -> Self {
        Self {
            body,
            holder: holder.clone(),
            state: OrderState::Granted,
        }
    }

    /// Whether the grant asked for belongs to an attempt that was abandoned before: it came late
    /// or twice, and nobody waits for it. Granted, it would block the order for good.
    fn outlived(&self, holder: &OrderHolder) -> bool {
        self.holder.vm == holder.vm
            && self.holder.incarnation == holder.incarnation
            && holder.attempt <= self.holder.attempt
    }

    /// What one that does not hold the order is told of it.
    pub(crate) fn report(&self) -> OrderOutcome {
        match &self.state {
            OrderState::Abandoned => OrderOutcome::Abandoned,
            OrderState::AnswerDropped => OrderOutcome::AnswerDropped,
            OrderState::Answered(answer) => OrderOutcome::Answered(answer.clone()),
            OrderState::Granted => OrderOutcome::AlreadyGranted,
            OrderState::Unknown => OrderOutcome::Unknown,
        }
    }
}
