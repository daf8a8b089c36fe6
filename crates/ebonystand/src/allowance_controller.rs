use super::*;
use {
    ebonystand_core::{
        Admission, Allowance, AllowanceMessage, AllowanceOutput, AllowanceStatus, Reservation,
        TicketId,
    },
    node::Node,
    tokio::sync::Notify,
};

/// Holds the allowance, and the requests that wait for their share of it.
pub(crate) struct AllowanceController {
    allowance: RefCell<Allowance>,
    changed: Notify,
    waiting: RefCell<FxHashMap<TicketId, oneshot::Sender<Result<Reserved, Denial>>>>,
}

/// Why a request gets no tokens.
enum Denial {
    /// The holders that answered have too few until the time given.
    Exhausted { retry_after: Duration },
    /// No holder answered in time.
    Unanswered,
}

/// Tokens that a request holds. Dropped, those go back that were not [`Reserved::use_up`]. None are
/// used at first: a request that is shed before it runs must not cost its workspace anything.
pub(crate) struct Reserved {
    node: Rc<Node>,
    reservation: Option<Reservation>,
    used: Tokens,
}

/// A request that waits; dropped, it is given up.
struct Waiting<'a> {
    node: &'a Rc<Node>,
    ticket: TicketId,
}

impl AllowanceController {
    /// Longest sleep between two looks at what is due.
    const LONGEST_SLEEP: Duration = Duration::from_secs(1);
    /// Shortest retry time told to a refused caller, who would otherwise come back in a loop.
    const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
    /// Retry time told to a caller whose request no holder has answered.
    const UNANSWERED_RETRY: Duration = Duration::from_millis(200);
    /// Retry time told for what will never be granted.
    const NEVER: Duration = Duration::MAX;

    /// Takes `tokens` of the workspace's allowance, or refuses.
    pub(crate) async fn admit(
        node: &Rc<Node>,
        workspace: &WorkspaceId,
        tokens: Tokens,
    ) -> Result<Reserved, Refusal> {
        Self::admit_within(node, workspace, tokens, Duration::MAX).await
    }

    /// Takes `tokens` of the workspace's allowance, or refuses after `max_wait` at the latest.
    pub(crate) async fn admit_within(
        node: &Rc<Node>,
        workspace: &WorkspaceId,
        tokens: Tokens,
        max_wait: Duration,
    ) -> Result<Reserved, Refusal> {
        let this = &node.allowance;
        let now = node.clock.now();
        let admission = this
            .allowance
            .borrow_mut()
            .admit_request(now, workspace, tokens);
        this.changed.notify_one();
        let answer = match admission {
            Admission::Granted(reservation) => Ok(Reserved::new(node, reservation)),
            Admission::Refused { retry_after } => Err(Denial::Exhausted { retry_after }),
            Admission::Waiting(ticket) => Self::wait(node, ticket, max_wait).await,
        };
        answer.map_err(|denial| Self::refusal(node, workspace, &denial))
    }

    /// Notes that the configuration held here was the newest at `asked`.
    pub(crate) fn confirm(node: &Rc<Node>, asked: Duration) {
        let now = node.clock.now();
        let outputs = node
            .allowance
            .allowance
            .borrow_mut()
            .confirm_configuration(now, asked);
        Self::take(node, outputs);
    }

    /// Notes that this VM has caught up with the configuration in force in the fleet.
    pub(crate) fn complete_start(node: &Rc<Node>) {
        let this = &node.allowance;
        let outputs = this.allowance.borrow_mut().complete_start(node.clock.now());
        this.changed.notify_one();
        Self::take(node, outputs);
    }

    pub(crate) fn configure(node: &Rc<Node>, now: Duration, document: &Document) {
        let this = &node.allowance;
        let before = this.describe_holders();
        let outputs = this.allowance.borrow_mut().configure(now, document);
        let after = this.describe_holders();
        if before != after {
            let (handovers, longest) = this.allowance.borrow().handovers(now);
            log::info!(
                before:% = before, after:% = after, handovers = handovers, version = document.version,
                longest_ms = longest.as_millis() as u64;
                "holders of allowances changed"
            );
        }
        this.changed.notify_one();
        Self::take(node, outputs);
    }

    pub(crate) fn drain(node: &Rc<Node>) {
        let outputs = node
            .allowance
            .allowance
            .borrow_mut()
            .drain(node.clock.now());
        Self::take(node, outputs);
    }

    pub(crate) fn new(vm: VmId, incarnation: Incarnation, region: RegionId, now: Duration) -> Self {
        Self {
            allowance: RefCell::new(Allowance::new(vm, incarnation, region, now)),
            changed: Notify::new(),
            waiting: RefCell::default(),
        }
    }

    /// Whether this VM may use its own parts of the allowances.
    pub(crate) fn ready(&self, now: Duration) -> bool {
        self.allowance.borrow().is_ready(now)
    }

    pub(crate) fn receive(node: &Rc<Node>, from: &VmId, message: AllowanceMessage) {
        let this = &node.allowance;
        let now = node.clock.now();
        let outputs = this
            .allowance
            .borrow_mut()
            .handle_message(now, from, message);
        this.changed.notify_one();
        Self::take(node, outputs);
    }

    /// Does what is due until the task is dropped.
    pub(crate) async fn run(node: Rc<Node>) {
        loop {
            let this = &node.allowance;
            let deadline = this.allowance.borrow().deadline();
            let now = node.clock.now();
            let wait = deadline.map_or(Self::LONGEST_SLEEP, |at| at.saturating_sub(now));
            let sleep = actix_rt::time::sleep(wait.min(Self::LONGEST_SLEEP));
            tokio::select! {
                () = sleep => {}
                () = this.changed.notified() => {}
            }
            let outputs = this.allowance.borrow_mut().tick(node.clock.now());
            Self::take(&node, outputs);
        }
    }

    pub(crate) fn status(&self) -> Vec<AllowanceStatus> {
        self.allowance.borrow().status()
    }

    /// Lists the holders of each region for log lines.
    fn describe_holders(&self) -> String {
        let allowance = self.allowance.borrow();
        let regions = allowance
            .region_holders()
            .map(|(region, holders)| format!("{region}: {}", holders.join(" ")));
        regions.collect::<Vec<_>>().join(", ")
    }

    fn answer(&self, ticket: TicketId, answer: Result<Reserved, Denial>) {
        let tx = self.waiting.borrow_mut().remove(&ticket);
        if let Some(tx) = tx {
            // A caller that has left drops the reservation unread, which gives it back.
            let _ = tx.send(answer);
        }
    }

    fn refusal(node: &Node, workspace: &WorkspaceId, denial: &Denial) -> Refusal {
        let label = node.metrics.workspace(workspace);
        let retry_after = match denial {
            Denial::Exhausted { retry_after } => *retry_after,
            Denial::Unanswered => {
                node.metrics.allowance_silences.get_or_create(&label).inc();
                let message = "no holder of the workspace's allowance has answered in time";
                let refusal = Refusal::not_run(RefusalCode::NotReady, message);
                return refusal.with_retry_after(Self::UNANSWERED_RETRY);
            }
        };
        node.metrics.allowance_refusals.get_or_create(&label).inc();
        if retry_after == Self::NEVER {
            let message =
                "the request needs more than the workspace's burst, or it has no allowance here";
            return Refusal::not_run(RefusalCode::AllowanceExhausted, message);
        }
        let message = "the workspace has used its allowance";
        let retry_after = retry_after.max(Self::MIN_RETRY_AFTER);
        Refusal::not_run(RefusalCode::AllowanceExhausted, message).with_retry_after(retry_after)
    }

    fn take(node: &Rc<Node>, outputs: Vec<AllowanceOutput>) {
        for output in outputs {
            match output {
                AllowanceOutput::Admitted {
                    reservation,
                    ticket,
                } => node
                    .allowance
                    .answer(ticket, Ok(Reserved::new(node, reservation))),
                AllowanceOutput::Refused {
                    retry_after,
                    ticket,
                } => {
                    let denial = Denial::Exhausted { retry_after };
                    node.allowance.answer(ticket, Err(denial));
                }
                AllowanceOutput::Unanswered { ticket } => {
                    node.allowance.answer(ticket, Err(Denial::Unanswered));
                }
                AllowanceOutput::Send { message, to } => {
                    node.send(&to, PeerMessage::Allowance(message));
                }
            }
        }
    }

    async fn wait(
        node: &Rc<Node>,
        ticket: TicketId,
        max_wait: Duration,
    ) -> Result<Reserved, Denial> {
        let (tx, mut rx) = oneshot::channel();
        node.allowance.waiting.borrow_mut().insert(ticket, tx);
        let _waiting = Waiting { node, ticket };
        let answer = match actix_rt::time::timeout(max_wait, &mut rx).await {
            Ok(answer) => answer,
            Err(_) => {
                let now = node.clock.now();
                let outputs = node.allowance.allowance.borrow_mut().end_wait(now, ticket);
                Self::take(node, outputs);
                rx.await
            }
        };
        answer.unwrap_or(Err(Denial::Unanswered))
    }
}

impl Reserved {
    /// Notes that so many of the tokens were used.
    pub(crate) fn use_up(&mut self, tokens: Tokens) {
        self.used = tokens;
    }

    fn new(node: &Rc<Node>, reservation: Reservation) -> Self {
        Self {
            node: Rc::clone(node),
            reservation: Some(reservation),
            used: 0,
        }
    }
}

impl Drop for Reserved {
    fn drop(&mut self) {
        let Some(reservation) = self.reservation.take() else {
            return;
        };
        let node = &self.node;
        let used = self.used.min(reservation.tokens);
        let label = node.metrics.workspace(&reservation.workspace);
        node.metrics.tokens.get_or_create(&label).inc_by(used);
        let now = node.clock.now();
        let outputs =
            node.allowance
                .allowance
                .borrow_mut()
                .settle_reservation(now, reservation, used);
        node.allowance.changed.notify_one();
        AllowanceController::take(node, outputs);
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let this = &self.node.allowance;
        if this.waiting.borrow_mut().remove(&self.ticket).is_none() {
            return;
        }
        let now = self.node.clock.now();
        let outputs = this.allowance.borrow_mut().cancel_request(now, self.ticket);
        AllowanceController::take(self.node, outputs);
    }
}
