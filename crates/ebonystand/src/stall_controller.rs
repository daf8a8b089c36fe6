use super::*;
use {ebonystand_core::StallWatch, node::Node};

/// Watches for times in which this process did not run.
pub(crate) struct StallController {
    watch: RefCell<StallWatch>,
}

impl StallController {
    pub(crate) fn new(now: Duration) -> Self {
        Self {
            watch: RefCell::new(StallWatch::new(now)),
        }
    }

    /// Observes the clock until the task is dropped.
    pub(crate) async fn run(node: Rc<Node>) {
        loop {
            node.stalls.observe(&node);
            actix_rt::time::sleep(StallWatch::OBSERVE_INTERVAL).await;
        }
    }

    /// Returns whether a request that is read now may have waited in a socket while the process
    /// stood still. A process that goes on may read it before [`Self::run`] observes the clock.
    pub(crate) fn may_have_waited(&self, node: &Node) -> bool {
        self.observe(node);
        self.watch.borrow().may_have_waited(node.clock.now())
    }

    fn observe(&self, node: &Node) {
        let stall = self.watch.borrow_mut().observe(node.clock.now());
        if let Some(stall) = stall {
            node.metrics.stalls.inc();
            log::warn!(stalled_ms = stall.as_millis() as u64, version = node.document().version; "process stood still");
        }
    }
}
