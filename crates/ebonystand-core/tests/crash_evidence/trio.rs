use {ebonystand_core::*, std::collections::BTreeSet, std::time::Duration};

/// Request that all crashes are reported of.
pub(crate) const FINGERPRINT: Fingerprint = 7;

const VMS: [&str; 3] = ["vm-0", "vm-1", "vm-2"];

/// Three VMs of one region whose messages arrive at once, some of which may be down.
pub(crate) struct Trio {
    live: BTreeSet<usize>,
    now: Duration,
    starts: RunId,
    vms: Vec<Quarantine>,
}

impl Default for Trio {
    fn default() -> Self {
        let mut trio = Self {
            live: (0..VMS.len()).collect(),
            now: Duration::ZERO,
            starts: 0,
            vms: Vec::new(),
        };
        trio.vms = (0..VMS.len()).map(|vm| trio.start(vm)).collect();
        trio
    }
}

impl Trio {
    pub(crate) fn crash(&mut self, vm: usize, upstream: &str) {
        self.crash_under(vm, FINGERPRINT, upstream);
    }

    pub(crate) fn crash_under(&mut self, vm: usize, fingerprint: Fingerprint, upstream: &str) {
        let output = self.vms[vm].report_crash(self.now, fingerprint, &upstream.into());
        self.deliver(vm, output);
    }

    /// Tells all VMs which upstreams a part of prompts has ended that these requests had.
    pub(crate) fn explain(&mut self, upstreams: &[&str], requests: &[Fingerprint]) {
        let upstreams = upstreams.iter().map(|upstream| UpstreamId::from(*upstream));
        let ends = ExplainedEnds {
            requests: requests.iter().copied().collect(),
            upstreams: upstreams.collect(),
        };
        for vm in self.live.clone() {
            let output = self.vms[vm].set_explained_ends(self.now, ends.clone());
            self.deliver(vm, output);
        }
    }

    pub(crate) fn survive(&mut self, vm: usize) {
        let output = self.vms[vm].record_survival(self.now, FINGERPRINT);
        self.deliver(vm, output);
    }

    pub(crate) fn clear(&mut self, vm: usize) {
        let output = self.vms[vm].clear(self.now, FINGERPRINT).unwrap();
        self.deliver(vm, output);
    }

    pub(crate) fn kill(&mut self, vm: usize) {
        self.live.remove(&vm);
        self.tell_live();
    }

    /// Starts a VM without its memory, whether the others have seen it gone or not.
    pub(crate) fn restart(&mut self, vm: usize) {
        self.starts += 1;
        self.vms[vm] = self.start(vm);
        if self.live.insert(vm) {
            self.tell_live();
        } else {
            for other in (0..VMS.len()).filter(|other| *other != vm) {
                let output = self.vms[other].handle_restart(self.now, &VMS[vm].into());
                self.deliver(other, output);
            }
        }
    }

    /// Lets time pass, with the ticks that belong to it.
    pub(crate) fn pass(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += Duration::from_millis(100);
            for vm in self.live.clone() {
                let output = self.vms[vm].tick(self.now);
                self.deliver(vm, output);
            }
        }
    }

    /// Whether each VM refuses the request.
    pub(crate) fn refusals(&self) -> [bool; 3] {
        [0, 1, 2].map(|vm| self.vms[vm].refusal(self.now, FINGERPRINT).is_some())
    }

    fn start(&self, vm: usize) -> Quarantine {
        let mut quarantine = Quarantine::new(VMS[vm].into(), self.starts << 32);
        quarantine.set_region_vms(self.live_ids());
        quarantine.set_live_vms(self.now, self.live_ids());
        quarantine
    }

    fn tell_live(&mut self) {
        let ids = self.live_ids();
        for vm in self.live.clone() {
            self.vms[vm].set_region_vms(ids.clone());
            self.vms[vm].set_live_vms(self.now, ids.clone());
        }
    }

    fn live_ids(&self) -> BTreeSet<VmId> {
        self.live.iter().map(|vm| VMS[*vm].into()).collect()
    }

    fn deliver(&mut self, from: usize, output: QuarantineOutput) {
        let mut pending = Vec::from([(from, output)]);
        while let Some((from, output)) = pending.pop() {
            for OutgoingQuarantineMessage { message, to } in output.messages {
                let to = VMS.iter().position(|vm| **vm == *to).unwrap();
                if self.live.contains(&to) {
                    let from_id = VMS[from].into();
                    let output = self.vms[to].handle_message(self.now, &from_id, message);
                    pending.push((to, output));
                }
            }
        }
    }
}
