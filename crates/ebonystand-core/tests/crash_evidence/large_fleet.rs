use {
    ebonystand_core::*,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Many VMs in three regions whose messages arrive at once, with the messages that each gets.
pub(crate) struct LargeFleet {
    indexes: BTreeMap<VmId, usize>,
    received: Vec<usize>,
    vms: Vec<Quarantine>,
}

fn name(vm: usize) -> VmId {
    format!("vm-{vm:04}").into()
}

impl LargeFleet {
    const REGIONS: usize = 3;

    pub(crate) fn new(vms: usize) -> Self {
        let all = (0..vms).map(name).collect::<BTreeSet<_>>();
        let regions = (0..Self::REGIONS).map(|region| {
            let vms = (region..vms).step_by(Self::REGIONS);
            vms.map(name).collect::<BTreeSet<_>>()
        });
        let regions = regions.collect::<Vec<_>>();
        let start = |vm: usize| {
            let mut quarantine = Quarantine::new(name(vm), 0);
            quarantine.set_region_vms(regions[vm % Self::REGIONS].clone());
            quarantine.set_live_vms(Duration::ZERO, all.clone());
            quarantine
        };
        Self {
            indexes: (0..vms).map(|vm| (name(vm), vm)).collect(),
            received: vec![0; vms],
            vms: (0..vms).map(start).collect(),
        }
    }

    /// Loses runs of different requests at each VM. Returns the most messages that a VM gets.
    pub(crate) fn lose_runs(mut self, per_vm: u64) -> usize {
        for vm in 0..self.vms.len() {
            for run in 0..per_vm {
                let fingerprint =
                    Quarantine::fingerprint("w", "/", &[vm as u8, (vm >> 8) as u8, run as u8]);
                self.crash(vm, fingerprint, "i-1");
            }
        }
        self.received.into_iter().max().unwrap()
    }

    /// Has one request quarantined. Returns the most and the median of the messages that a VM gets.
    pub(crate) fn quarantine_one(mut self) -> (usize, usize) {
        for n in 0..3 {
            self.crash(n, 7, &format!("i-{n}"));
        }
        let now = Quarantine::SURVIVAL_TIMEOUT;
        for vm in 0..self.vms.len() {
            let output = self.vms[vm].tick(now);
            self.deliver(vm, output);
        }
        let is_refused = |vm: &Quarantine| vm.refusal(now, 7).is_some();
        assert!(self.vms.iter().all(is_refused));
        self.received.sort_unstable();
        let median = self.received[self.received.len() / 2];
        (self.received.pop().unwrap(), median)
    }

    fn crash(&mut self, vm: usize, fingerprint: Fingerprint, upstream: &str) {
        let output = self.vms[vm].report_crash(Duration::ZERO, fingerprint, &upstream.into());
        self.deliver(vm, output);
    }

    fn deliver(&mut self, from: usize, output: QuarantineOutput) {
        let mut pending = Vec::from([(from, output)]);
        while let Some((from, output)) = pending.pop() {
            for OutgoingQuarantineMessage { message, to } in output.messages {
                let to = self.indexes[&to];
                self.received[to] += 1;
                let output = self.vms[to].handle_message(Duration::ZERO, &name(from), message);
                pending.push((to, output));
            }
        }
    }
}
