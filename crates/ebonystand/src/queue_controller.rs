use super::*;
use {
    ebonystand_core::{Deadline, FairQueue, Priority, QueueEntry, QueueOutcome},
    node::Node,
};

/// Holds the fair queue before the model engines, and the requests that wait in it.
pub(crate) struct QueueController {
    next: Cell<u64>,
    queue: RefCell<FairQueue>,
    queued: tokio::sync::Notify,
    waiting: RefCell<FxHashMap<u64, oneshot::Sender<Result<Slot, Refusal>>>>,
}

/// A place among the dispatches that run; dropped, it lets the next request go.
pub(crate) struct Slot {
    node: Rc<Node>,
    workspace: WorkspaceId,
}

/// A place in the queue; dropped, it is given up.
struct Place<'a> {
    id: u64,
    node: &'a Rc<Node>,
    workspace: &'a str,
}

impl QueueController {
    const CAPACITY: Tokens = 1 << 22;
    const SLOTS_EVERY: Duration = Duration::from_secs(1);
    const TICK: Duration = Duration::from_millis(50);

    /// Waits for the request's turn.
    pub(crate) async fn enter(
        node: &Rc<Node>,
        workspace: &WorkspaceId,
        work: Tokens,
        deadline: Deadline,
    ) -> Result<Slot, Refusal> {
        let this = &node.queue;
        let id = this.next.get();
        this.next.set(id + 1);
        let entry = QueueEntry {
            deadline,
            id,
            work,
            workspace: workspace.clone(),
        };
        let outcome = this.queue.borrow_mut().push(entry);
        match outcome {
            QueueOutcome::Started => {
                return Ok(Slot {
                    node: Rc::clone(node),
                    workspace: workspace.clone(),
                });
            }
            QueueOutcome::Shed { refusal } => return Err(refusal),
            QueueOutcome::QueuedAfterShedding { shed } => {
                this.answer(shed.id, Err(FairQueue::refusal()))
            }
            QueueOutcome::Queued => {}
        }
        let (tx, rx) = oneshot::channel();
        this.waiting.borrow_mut().insert(id, tx);
        this.queued.notify_one();
        let _place = Place {
            id,
            node,
            workspace,
        };
        match rx.await {
            Ok(answer) => answer,
            Err(_) => Err(FairQueue::refusal()),
        }
    }

    pub(crate) fn new(slots: usize) -> Self {
        let slots = u32::try_from(slots).unwrap_or(u32::MAX);
        Self {
            next: Cell::new(0),
            queue: RefCell::new(FairQueue::new(slots, Self::CAPACITY)),
            queued: tokio::sync::Notify::new(),
            waiting: RefCell::default(),
        }
    }

    pub(crate) fn priority(&self, workspace: &str) -> Priority {
        self.queue.borrow().priority(workspace)
    }

    /// Sheds what waits past its deadline until the task is dropped.
    pub(crate) async fn run(node: Rc<Node>) {
        let this = &node.queue;
        loop {
            if this.waiting.borrow().is_empty() {
                this.queued.notified().await;
            }
            actix_rt::time::sleep(Self::TICK).await;
            let expired = this.queue.borrow_mut().remove_expired(node.clock.now());
            for entry in expired {
                let message = "the deadline passed while the request waited";
                let refusal = Refusal::not_run(RefusalCode::Deadline, message);
                this.answer(entry.id, Err(refusal));
            }
            Self::advance(&node);
        }
    }

    /// Follows the size of the engines until the task is dropped.
    pub(crate) async fn run_slots(node: Rc<Node>) {
        let limit = u32::try_from(node.settings.limits.requests).unwrap_or(u32::MAX);
        loop {
            let slots = node.routes.slots(node.clock.now(), &node.document());
            let slots = slots.unwrap_or(limit);
            node.queue.queue.borrow_mut().set_slots(slots);
            Self::advance(&node);
            actix_rt::time::sleep(Self::SLOTS_EVERY).await;
        }
    }

    /// Lets requests go while there are free slots. The slot travels with the answer: a caller
    /// that leaves in the meantime drops it unread, and the next request goes.
    fn advance(node: &Rc<Node>) {
        loop {
            let Some(entry) = node.queue.queue.borrow_mut().pop() else {
                return;
            };
            let slot = Slot {
                node: Rc::clone(node),
                workspace: entry.workspace,
            };
            node.queue.answer(entry.id, Ok(slot));
        }
    }

    fn answer(&self, id: u64, answer: Result<Slot, Refusal>) {
        let tx = self.waiting.borrow_mut().remove(&id);
        if let Some(tx) = tx {
            // A caller that has left needs no answer.
            let _ = tx.send(answer);
        }
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        let this = &self.node.queue;
        if this.waiting.borrow_mut().remove(&self.id).is_some() {
            this.queue.borrow_mut().cancel(self.workspace, self.id);
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let this = &self.node.queue;
        this.queue.borrow_mut().record_dispatch_end(&self.workspace);
        QueueController::advance(&self.node);
    }
}
