use super::*;
use {node::Node, slot_controller::SlotController};

/// Slot that a request waits for or holds. Dropping it ends the wait or returns the slot.
pub(crate) struct SlotHold {
    node: Rc<Node>,
    number: u32,
}

impl SlotHold {
    pub(crate) fn new(node: &Rc<Node>, number: u32) -> Self {
        let node = Rc::clone(node);
        Self { node, number }
    }

    /// Tells the scheduler that the answer has begun, `waited` after the request was sent.
    pub(crate) fn begin(&self, waited: Duration) {
        SlotController::begin(&self.node, self.number, waited);
    }
}

impl Drop for SlotHold {
    fn drop(&mut self) {
        SlotController::end(&self.node, self.number);
    }
}
