use super::*;
use {
    ebonystand_core::WeightedFairQueue,
    node::Node,
    tokio::sync::oneshot::{Receiver, Sender, channel},
};

/// Queues of requests that wait until an upstream has room, one for each service.
#[derive(Default)]
pub(crate) struct RoomQueues {
    entered: tokio::sync::Notify,
    next: Cell<u64>,
    queues: RefCell<FxHashMap<Box<str>, WeightedFairQueue>>,
    waiting: RefCell<FxHashMap<u64, Waiting>>,
}

/// A waiting request and the channel that ends its wait.
struct Waiting {
    is_engine: bool,
    tx: Sender<()>,
}

/// Place of a request in a queue. Dropping it removes the request from the queue.
struct QueuePlace<'a> {
    node: &'a Node,
    number: u64,
    service: &'a str,
}

impl RoomQueues {
    /// Time between two checks for requests that can leave a queue. The start or end of an answer
    /// triggers a check at once; the periodic one finds room that arises just by the passage of
    /// time.
    const POLL_INTERVAL: Duration = Duration::from_millis(20);

    /// Waits up to `max_wait` for the request's turn and returns whether it came.
    pub(crate) async fn wait(
        node: &Rc<Node>,
        service: &str,
        rank: u8,
        is_engine: bool,
        work: u64,
        max_wait: Duration,
    ) -> bool {
        let Some((number, rx)) = node
            .gateway
            .room_queues
            .enqueue(node, service, rank, is_engine, work)
        else {
            return false;
        };
        let _place = QueuePlace {
            node,
            number,
            service,
        };
        matches!(actix_rt::time::timeout(max_wait, rx).await, Ok(Ok(())))
    }

    /// Releases the first request of each queue if an upstream has room for it.
    pub(crate) fn advance(node: &Node) {
        let this = &node.gateway.room_queues;
        if this.waiting.borrow().is_empty() {
            return;
        }
        let now = node.clock.now();
        let mut queues = this.queues.borrow_mut();
        for (service, queue) in queues.iter_mut() {
            let Some((number, work)) = queue.peek() else {
                continue;
            };
            let mut waiting = this.waiting.borrow_mut();
            let is_engine = waiting
                .get(&number)
                .is_some_and(|waiting| waiting.is_engine);
            let book = node.gateway.book.borrow();
            if !book.has_room(now, service, is_engine, work) {
                continue;
            }
            queue.pop();
            drop(book);
            Self::record_waiting(node, service, queue);
            if let Some(waiting) = waiting.remove(&number) {
                // The send fails if the request stopped waiting meanwhile; the next check then
                // releases another one.
                let _ = waiting.tx.send(());
            }
        }
    }

    /// Checks the queues periodically while requests wait, until the task is dropped.
    pub(crate) async fn run(node: Rc<Node>) {
        let this = &node.gateway.room_queues;
        loop {
            if this.waiting.borrow().is_empty() {
                this.entered.notified().await;
            }
            actix_rt::time::sleep(Self::POLL_INTERVAL).await;
            Self::advance(&node);
        }
    }

    /// Tells the book how many requests wait for a service.
    fn record_waiting(node: &Node, service: &str, queue: &WeightedFairQueue) {
        let waiting = u32::try_from(queue.len()).unwrap_or(u32::MAX);
        node.gateway.book.borrow_mut().set_waiting(service, waiting);
    }

    /// Adds a request to the queue of its service; `None` if the queue rejects it.
    fn enqueue(
        &self,
        node: &Node,
        service: &str,
        rank: u8,
        is_engine: bool,
        work: u64,
    ) -> Option<(u64, Receiver<()>)> {
        let number = self.next.get();
        self.next.set(number + 1);
        let mut queues = self.queues.borrow_mut();
        let queue = queues.entry(service.into()).or_default();
        if !queue.push(number, rank, work) {
            return None;
        }
        Self::record_waiting(node, service, queue);
        let (tx, rx) = channel();
        self.waiting
            .borrow_mut()
            .insert(number, Waiting { is_engine, tx });
        self.entered.notify_one();
        Some((number, rx))
    }
}

impl Drop for QueuePlace<'_> {
    fn drop(&mut self) {
        let room_queues = &self.node.gateway.room_queues;
        if room_queues
            .waiting
            .borrow_mut()
            .remove(&self.number)
            .is_none()
        {
            return;
        }
        if let Some(queue) = room_queues.queues.borrow_mut().get_mut(self.service) {
            queue.remove(self.number);
            RoomQueues::record_waiting(self.node, self.service, queue);
        }
    }
}
