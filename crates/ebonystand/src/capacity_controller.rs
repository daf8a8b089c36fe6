use super::*;
use {
    ebonystand_core::{CapacityThrottle, ProcessorMeter},
    membership_controller::MembershipController,
    node::Node,
    rustix::time::{ClockId, clock_gettime},
};

/// Advertises less of this VM's capacity while it is near one of its limits.
#[derive(Default)]
pub(crate) struct CapacityController {
    processor: RefCell<ProcessorMeter>,
    throttle: RefCell<CapacityThrottle>,
}

impl CapacityController {
    /// Measures what the VM uses and tells the other VMs if that changes its capacity.
    pub(crate) fn update(node: &Rc<Node>) {
        let this = &node.capacity;
        let now = node.clock.now();
        let requests = this.requests_permille(node);
        let processor = this.processor_permille(node);
        let held = node.readers.used_permille();
        let used = requests.max(processor).max(held);
        let halvings = this.throttle.borrow_mut().halvings(now, used);
        let capacity = node.settings.resources.capacity.halved(halvings);
        let gauge = &node.metrics.advertised_capacity;
        gauge.set(capacity.permille().into());
        if MembershipController::set_capacity_halvings(node, halvings) {
            log::info!(
                halvings = halvings, requests_permille = requests, processor_permille = processor,
                held_permille = held;
                "advertised capacity changed"
            );
        }
    }

    fn requests_permille(&self, node: &Node) -> u64 {
        let requests = node.in_flight.get() as u64;
        requests * 1_000 / node.settings.limits.requests as u64
    }

    fn processor_permille(&self, node: &Node) -> u64 {
        let Some(millicores) = node.settings.resources.millicores else {
            return 0;
        };
        let total = clock_gettime(ClockId::ProcessCPUTime);
        let seconds = u64::try_from(total.tv_sec).unwrap_or_default();
        let nanos = u32::try_from(total.tv_nsec).unwrap_or_default();
        let total = Duration::new(seconds, nanos);
        let now = node.clock.now();
        let mut processor = self.processor.borrow_mut();
        processor.used_permille(now, total, millicores)
    }
}
