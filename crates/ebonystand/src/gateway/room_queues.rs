use super::*;
use {
    call::Call,
    ebonystand_core::{Prompt, RoomQueue, RoomRequest},
    node::Node,
    tokio::sync::oneshot::{Receiver, Sender, channel},
};

/// Queues of requests that wait until an upstream has room, one for each service.
#[derive(Default)]
pub(crate) struct RoomQueues {
    entered: tokio::sync::Notify,
    next: Cell<u32>,
    queues: RefCell<FxHashMap<Box<str>, RoomQueue>>,
    waiting: RefCell<FxHashMap<u32, Sender<()>>>,
}

/// How a request's wait for room ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RoomTurn {
    /// An upstream may have room.
    Come,
    /// The longest wait is over.
    Over,
    /// The turn would come too late, after this time.
    TooLate(Duration),
}

/// Place of a request in a queue. Dropping it removes the request from the queue.
struct QueuePlace<'a> {
    node: &'a Node,
    number: u32,
    service: &'a str,
}

impl RoomQueues {
    /// Time between two checks for requests that can leave a queue. The start or end of an answer
    /// triggers a check at once; the periodic one finds room that arises just by the passage of
    /// time.
    const POLL_INTERVAL: Duration = Duration::from_millis(20);

    /// Waits up to `max_wait` for the request's turn, unless that would come later.
    pub(crate) async fn wait(
        node: &Rc<Node>,
        call: &Call,
        hold: Duration,
        max_wait: Duration,
    ) -> RoomTurn {
        let (number, rx) = match Self::enqueue(node, call, hold, max_wait) {
            Ok(place) => place,
            Err(wait) => return RoomTurn::TooLate(wait),
        };
        let _place = QueuePlace {
            node,
            number,
            service: &call.service,
        };
        match actix_rt::time::timeout(max_wait, rx).await {
            Ok(Ok(())) => RoomTurn::Come,
            _ => RoomTurn::Over,
        }
    }

    /// Releases the first request of each queue for which an upstream has room.
    pub(crate) fn advance(node: &Node) {
        let this = &node.gateway.room_queues;
        if this.waiting.borrow().is_empty() {
            return;
        }
        let now = node.clock.now();
        let table = node.gateway.table();
        let mut queues = this.queues.borrow_mut();
        for (service, queue) in queues.iter_mut() {
            let known = table.service(service);
            let is_engine = known.is_some_and(|service| service.engine.is_some());
            let taken = {
                let book = node.gateway.book.borrow();
                queue.take(now, |work| book.has_room(now, service, is_engine, work))
            };
            let Some(number) = taken else {
                continue;
            };
            Self::record_waiting(node, service, queue);
            if let Some(tx) = this.waiting.borrow_mut().remove(&number) {
                // The send fails if the request stopped waiting meanwhile; the next check then
                // releases another one.
                let _ = tx.send(());
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
    fn record_waiting(node: &Node, service: &str, queue: &RoomQueue) {
        let waiting = u32::try_from(queue.len()).unwrap_or(u32::MAX);
        node.gateway.book.borrow_mut().set_waiting(service, waiting);
    }

    /// Adds a request to the queue of its service. If its turn would come too late, returns the time until then.
    fn enqueue(
        node: &Node,
        call: &Call,
        hold: Duration,
        max_wait: Duration,
    ) -> Result<(u32, Receiver<()>), Duration> {
        let this = &node.gateway.room_queues;
        let number = this.next.get();
        this.next.set(number.wrapping_add(1));
        let mut queues = this.queues.borrow_mut();
        let queue = queues
            .entry(call.service.clone())
            .or_insert_with(|| RoomQueue::new(node.settings.vm.clone()));
        let request = RoomRequest {
            begin_by: call.arrived + call.aim,
            hold,
            max_wait,
            number,
            rank: call.rank,
            work: call.prompt.as_ref().map_or(1, Prompt::own_tokens),
            workspace: call.workspace.as_deref(),
        };
        queue.push(node.clock.now(), request)?;
        Self::record_waiting(node, &call.service, queue);
        let (tx, rx) = channel();
        this.waiting.borrow_mut().insert(number, tx);
        this.entered.notify_one();
        Ok((number, rx))
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
