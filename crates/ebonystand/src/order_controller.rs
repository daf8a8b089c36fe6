use super::*;
use {
    attempt::Attempt,
    call_service::ServiceCall,
    dispatch::{Answer, DispatchFailure},
    ebonystand_core::{
        BodyHash, CallKind, Command, CommandOutcome, Deadline, InFlightOrder, OrderAction,
        OrderAnswer, OrderCommand, OrderDispatch, OrderHolderSource, OrderId, OrderLimits,
        OrderOutcome, OrderPermit, OrderReply, OrderRequest, RunEnd, UnsentOrder, order_region,
    },
    group_controller::GroupController,
    in_flight::InFlight,
    node::Node,
};

/// Runs once-only orders, each by a task that outlives its caller.
pub(crate) struct OrderController {
    holders: RefCell<OrderHolderSource>,
}

/// What an order's task waits for.
enum OrderEvent {
    Answered(InFlightOrder, OrderAnswer),
    Outcome(OrderOutcome),
    Unanswered(InFlightOrder),
    Unsent(UnsentOrder),
}

/// One order that runs.
struct OrderTask {
    /// A VM that stops waits for its orders to be settled, also those whose callers have left.
    _in_flight: InFlight,
    call: Rc<ServiceCall>,
    events: mpsc::UnboundedSender<OrderEvent>,
    node: Rc<Node>,
    reply: Option<oneshot::Sender<OrderReply>>,
}

impl OrderController {
    /// Part of the time before the deadline in which an order may still be sent. The rest is
    /// left for it to run, or for its abandonment to become durable.
    const DISPATCH_PERMILLE: u32 = 750;
    const RETRY_AFTER: Duration = Duration::from_secs(2);

    pub(crate) fn new(vm: VmId, incarnation: Incarnation) -> Self {
        Self {
            holders: RefCell::new(OrderHolderSource::new(vm, incarnation)),
        }
    }

    /// Runs the order, or finds what became of it.
    pub(crate) async fn run(
        node: &Rc<Node>,
        call: ServiceCall,
        key: Box<str>,
    ) -> Result<Answer, Refusal> {
        Self::check_region(node, &call, &key)?;
        // In a region that is cut off from the log, each order would wait for its deadline only to
        // hear the same. Only the log knows whether an earlier request has run the order.
        if node.group.out_of_reach(node.clock.now()) {
            let message = "the log of orders is out of reach; send the order again under its key";
            let refusal = Refusal::possibly_run(RefusalCode::NotReady, message);
            return Err(refusal.with_retry_after(Self::RETRY_AFTER));
        }
        let req = Self::request(node, &call, key, call.req.deadline);
        let holder = node.orders.holders.borrow_mut().next_holder();
        let order = OrderDispatch::new(req, holder, &OrderLimits::default())?;
        let (reply, answer) = oneshot::channel();
        let (events, inbox) = mpsc::unbounded_channel();
        let in_flight = InFlight::enter(&node.in_flight, usize::MAX);
        let task = OrderTask {
            _in_flight: in_flight.ok_or_else(Self::lost)?,
            call: Rc::new(call),
            events,
            node: Rc::clone(node),
            reply: Some(reply),
        };
        actix_rt::spawn(task.run(order, inbox));
        match answer.await {
            Ok(OrderReply::Answer { answer, .. }) => Answer::try_from(answer),
            Ok(OrderReply::Refusal(refusal)) => Err(refusal),
            Err(_) => Err(Self::lost()),
        }
    }

    fn lost() -> Refusal {
        Refusal::possibly_run(
            RefusalCode::OrderUnknown,
            "the order's task ended without an answer",
        )
    }

    /// Refuses a key whose region may not serve the workspace.
    fn check_region(node: &Node, call: &ServiceCall, key: &str) -> Result<(), Refusal> {
        let document = node.document();
        let Some(workspace) = document.workspaces.get(&call.req.caller.workspace) else {
            return Ok(());
        };
        order_region(key, workspace, &document.regions)
            .map(drop)
            .map_err(|fault| fault.refusal())
    }

    fn request(node: &Node, call: &ServiceCall, key: Box<str>, deadline: Deadline) -> OrderRequest {
        let now = node.clock.now();
        let left = deadline.remaining(now);
        let req = &call.req;
        OrderRequest {
            received_at: node.clock.wall().as_secs(),
            body_hash: BodyHash::from_request(call.method.as_str(), &call.path, &req.body),
            dispatch_by: now + left * Self::DISPATCH_PERMILLE / 1_000,
            id: OrderId {
                key,
                workspace: req.caller.workspace.clone(),
            },
            reply_by: deadline.at(),
        }
    }
}

impl OrderTask {
    async fn run(
        mut self,
        mut order: OrderDispatch,
        mut inbox: mpsc::UnboundedReceiver<OrderEvent>,
    ) {
        let mut actions = order.poll(self.node.clock.now());
        loop {
            for action in actions {
                self.act(action);
            }
            let Some(wake) = order.poll_at() else { return };
            let now = self.node.clock.now();
            let wait = wake.saturating_sub(now).min(OrderDispatch::SETTLE_TIMEOUT);
            tokio::select! {
                Some(event) = inbox.recv() => {
                    actions = self.take(&mut order, event);
                }
                () = caller_left(&mut self.reply) => {
                    self.reply = None;
                    actions = order.cancel(self.node.clock.now());
                }
                () = actix_rt::time::sleep(wait) => {
                    actions = order.poll(self.node.clock.now());
                }
            }
        }
    }

    fn act(&mut self, action: OrderAction) {
        match action {
            OrderAction::Dispatch(permit) => {
                let dispatch = Dispatch {
                    call: Rc::clone(&self.call),
                    node: Rc::clone(&self.node),
                };
                let events = self.events.clone();
                actix_rt::spawn(async move {
                    // The task keeps its receiver until the order is settled.
                    let _ = events.send(dispatch.run(permit).await);
                });
            }
            OrderAction::Propose(command) => {
                let (events, node) = (self.events.clone(), Rc::clone(&self.node));
                actix_rt::spawn(propose(node, command, events));
            }
            OrderAction::Reply(reply) => {
                log::info!(request:% = self.call.req.id, reply:? = reply; "order settled for its caller");
                if let Some(tx) = self.reply.take() {
                    let _ = tx.send(reply);
                }
            }
        }
    }

    fn take(&self, order: &mut OrderDispatch, event: OrderEvent) -> Vec<OrderAction> {
        let now = self.node.clock.now();
        match event {
            OrderEvent::Answered(sending, answer) => order.record_answer(now, sending, answer),
            OrderEvent::Outcome(outcome) => order.handle_outcome(now, &outcome),
            OrderEvent::Unanswered(sending) => order.record_no_answer(now, sending),
            OrderEvent::Unsent(unsent) => order.record_unsent(now, unsent),
        }
    }
}

/// The one dispatch of a granted order.
struct Dispatch {
    call: Rc<ServiceCall>,
    node: Rc<Node>,
}

impl Dispatch {
    async fn run(self, permit: OrderPermit) -> OrderEvent {
        let node = &self.node;
        let mut excluded = Vec::new();
        let mut next = self.begin(&excluded).await;
        let mut sending = match permit.redeem(node.clock.now()) {
            Ok(sending) => sending,
            Err(unsent) => return OrderEvent::Unsent(unsent),
        };
        loop {
            let attempt = match next {
                Ok(attempt) => attempt,
                Err(refusal) => {
                    log::info!(request:% = self.call.req.id, refusal:% = refusal; "order not sent");
                    return OrderEvent::Unsent(sending.into_unsent());
                }
            };
            match self.call.send(node, &attempt, true).await {
                Ok(answer) => {
                    attempt.answered(1);
                    return OrderEvent::Answered(sending, answer.into());
                }
                // Nothing was sent: the same permission may be used for another upstream.
                Err(DispatchFailure::Connect) => {
                    excluded.push(attempt.upstream().clone());
                    attempt.failed(&DispatchFailure::Connect);
                }
                Err(failure) => {
                    attempt.failed(&failure);
                    return OrderEvent::Unanswered(sending);
                }
            }
            next = self.begin(&excluded).await;
            sending = match sending.switch_upstream(node.clock.now()) {
                Ok(sending) => sending,
                Err(unsent) => return OrderEvent::Unsent(unsent),
            };
        }
    }

    async fn begin(&self, excluded: &[UpstreamId]) -> Result<Attempt, Refusal> {
        let (node, req) = (&self.node, &self.call.req);
        loop {
            let route = req.route_without(node, excluded)?;
            let limit = req.left(node);
            let run = node.quarantine.begin(node, req.fingerprint, limit).await?;
            let is_confirmed = req.confirm(node, &route.upstream);
            let refusal = req.departure_refusal(node, CallKind::Once, None);
            if is_confirmed && refusal.is_none() {
                return Ok(Attempt::begin(node, req, route, run));
            }
            node.quarantine.finished(node, run, RunEnd::Clean);
            if let Some(refusal) = refusal {
                return Err(refusal);
            }
        }
    }
}

async fn caller_left(reply: &mut Option<oneshot::Sender<OrderReply>>) {
    match reply {
        Some(tx) => tx.closed().await,
        None => std::future::pending().await,
    }
}

async fn propose(node: Rc<Node>, command: OrderCommand, events: mpsc::UnboundedSender<OrderEvent>) {
    let outcome = GroupController::propose(&node, Command::Order(command)).await;
    if let Ok(CommandOutcome::Order(outcome)) = outcome {
        // A task that is closed needs no outcome.
        let _ = events.send(OrderEvent::Outcome(outcome));
    }
}
