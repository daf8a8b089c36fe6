//! Loss of power by all VMs at one moment, and of some of their disks.

use {
    super::{
        cell::{Cell, Step},
        net::Net,
    },
    ebonystand_core::{DurableState, VmId},
    rand::{RngExt, seq::SliceRandom},
    std::time::Duration,
};

/// Moment at which all VMs lose power.
#[derive(Clone, Copy, Debug)]
pub struct PowerLoss {
    /// Number of VMs that come back with empty disks.
    pub disks: usize,
    pub seed: u64,
    /// Step of the protocol that is in progress.
    pub step: Step,
    pub vms: &'static [&'static str],
}

impl PowerLoss {
    /// Longest time after the begin of the step at which the power is lost, in milliseconds.
    const MAX_DELAY_MS: u64 = 120;
    /// Longest time until a VM is back, in milliseconds.
    const MAX_DOWN_MS: u64 = 1_000;
    /// Number of records after the last sync that may be on a disk all the same.
    const MAX_TORN: usize = 4;

    /// Runs the loss; panics if an invariant is violated.
    pub fn run(&self) {
        let mut net = Net::new(self.vms, self.seed);
        let limit = Duration::from_secs(30);
        assert!(net.run(limit, 5, |net| net.observer.acknowledged_count() > 20));
        self.step.begin(&mut net);
        net.events_seen.clear();
        let event_name = self.step.event_name();
        assert!(net.run(limit, 5, |net| net.events_seen.contains(event_name)));
        let delay = net.rng.random_range(0..Self::MAX_DELAY_MS);
        net.run(Duration::from_millis(delay), 1, |_| false);
        // Right after an acknowledgement is when the fewest disks hold what it promises.
        let before = net.observer.acknowledged_count();
        net.run(limit, 1, |net| net.observer.acknowledged_count() > before);
        let mut vms = net.nodes.keys().cloned().collect::<Vec<_>>();
        for vm in &vms {
            let torn = match net.rng.random() {
                true => 0,
                false => net.rng.random_range(0..Self::MAX_TORN),
            };
            net.kill(vm, torn);
        }
        vms.shuffle(&mut net.rng);
        for vm in &vms[..self.disks] {
            let incarnation = net.rng.random();
            net.node(vm).disk = DurableState::empty(incarnation);
        }
        Self::restart(&mut net, vms);
        Cell::recover(&mut net);
    }

    /// Starts the VMs one after the other.
    fn restart(net: &mut Net, vms: Vec<VmId>) {
        let most = Self::MAX_DOWN_MS / vms.len() as u64;
        for vm in vms {
            let pause = net.rng.random_range(0..most);
            net.run(Duration::from_millis(pause), 5, |_| false);
            net.start(&vm);
        }
    }
}
