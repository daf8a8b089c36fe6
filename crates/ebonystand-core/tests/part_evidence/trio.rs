use {
    ebonystand_core::*,
    std::{cell::Cell, collections::BTreeSet, time::Duration},
};

pub(crate) const SERVICE: &str = "engines";

/// VMs of one region whose messages arrive at once.
pub(crate) struct Vms {
    /// Messages that each VM has got.
    pub(crate) received: Vec<usize>,
    /// Bytes that each VM has sent.
    pub(crate) sent_bytes: Vec<usize>,
    /// Fingerprints that were given out.
    fingerprints: Cell<Fingerprint>,
    live: Vec<bool>,
    now: Duration,
    vms: Vec<PartQuarantine>,
}

fn name(vm: usize) -> VmId {
    format!("vm-{vm}").into()
}

impl Vms {
    pub(crate) fn new(count: usize) -> Self {
        let vms = (0..count).map(|vm| PartQuarantine::new(name(vm), 0));
        let mut this = Self {
            received: vec![0; count],
            sent_bytes: vec![0; count],
            fingerprints: Cell::default(),
            live: vec![true; count],
            now: Duration::ZERO,
            vms: vms.collect(),
        };
        this.tell_live();
        this
    }

    /// Tells the VMs that live which others do.
    fn tell_live(&mut self) {
        let live = (0..self.vms.len()).filter(|vm| self.live[*vm]);
        let live = live.map(name).collect::<BTreeSet<_>>();
        for vm in 0..self.vms.len() {
            if self.live[vm] {
                self.vms[vm].set_region_vms(live.clone());
                let output = self.vms[vm].set_live_vms(self.now, live.clone());
                self.deliver(vm, output);
            }
        }
    }

    pub(crate) fn kill(&mut self, vm: usize) {
        self.live[vm] = false;
        self.tell_live();
    }

    /// Starts a VM without its memory, whether the others have missed it or not.
    pub(crate) fn restart(&mut self, vm: usize) {
        self.vms[vm] = PartQuarantine::new(name(vm), 1 << 32);
        let was_missed = !std::mem::replace(&mut self.live[vm], true);
        self.tell_live();
        for other in (0..self.vms.len()).filter(|other| *other != vm && !was_missed) {
            let output = self.vms[other].handle_restart(self.now, &name(vm));
            self.deliver(other, output);
        }
    }

    /// Starts a VM twice without its memory. The first process acknowledges what it is told, which arrives late; what the
    /// second one is told at once gets lost.
    pub(crate) fn restart_before_acknowledgements(&mut self, vm: usize) {
        for other in (0..self.vms.len()).filter(|other| *other != vm) {
            let mut former = PartQuarantine::new(name(vm), 1 << 32);
            let told = self.vms[other].handle_restart(self.now, &name(vm));
            let late = told.messages.into_iter().flat_map(|sent| {
                let acknowledged = former.handle_message(self.now, &name(other), sent.message);
                acknowledged.messages
            });
            let late = late.collect::<Vec<_>>();
            self.vms[other].handle_restart(self.now, &name(vm));
            for sent in late {
                self.vms[other].handle_message(self.now, &name(vm), sent.message);
            }
        }
        self.vms[vm] = PartQuarantine::new(name(vm), 2 << 32);
        self.tell_live();
    }

    pub(crate) fn pass(&mut self, time: Duration) {
        const TICK: Duration = Duration::from_millis(50);
        let until = self.now + time;
        while self.now < until {
            self.now += TICK;
            for vm in 0..self.vms.len() {
                if self.live[vm] {
                    let output = self.vms[vm].tick(self.now);
                    self.deliver(vm, output);
                }
            }
        }
    }

    pub(crate) fn lose(&mut self, vm: usize, upstream: &str, runs: &[&[PromptPartId]]) {
        let runs = runs.iter().map(|parts| self.lost_run(false, parts));
        let runs = runs.collect();
        self.report(vm, upstream, runs);
    }

    /// Loses a run of a request, as a trial if it was permitted.
    pub(crate) fn lose_request(
        &mut self,
        vm: usize,
        upstream: &str,
        request: u64,
        parts: &[PromptPartId],
    ) {
        let is_trial = self.vms[vm].is_trial(self.now, request);
        let run = LostRun {
            fingerprint: request.into(),
            is_trial,
            parts: parts.into(),
        };
        self.report(vm, upstream, vec![run]);
    }

    /// Run of a request like no other.
    fn lost_run(&self, is_trial: bool, parts: &[PromptPartId]) -> LostRun {
        const FIRST_FINGERPRINT: Fingerprint = 1 << 64;
        let number = self.fingerprints.replace(self.fingerprints.get() + 1);
        LostRun {
            fingerprint: FIRST_FINGERPRINT + number,
            is_trial,
            parts: parts.into(),
        }
    }

    fn report(&mut self, vm: usize, upstream: &str, runs: Vec<LostRun>) {
        let output = self.vms[vm].report_loss(self.now, &SERVICE.into(), &upstream.into(), runs);
        self.deliver(vm, output);
    }

    pub(crate) fn survive(&mut self, vm: usize, parts: &[PromptPartId]) {
        let output = self.vms[vm].record_survival(self.now, &SERVICE.into(), parts);
        self.deliver(vm, output);
    }

    /// Has upstreams begin answers on other prompts at all VMs.
    pub(crate) fn survive_elsewhere(&mut self) {
        const ELSEWHERE: PromptPartId = 99;
        for vm in 0..self.vms.len() {
            self.survive(vm, &[ELSEWHERE]);
        }
    }

    /// Asks whether a request may run, and for the owner's permission if it is held.
    pub(crate) fn gate(&mut self, vm: usize, request: u64, parts: &[PromptPartId]) -> PartGate {
        let gate = self.vms[vm].gate(self.now, SERVICE, parts, request);
        if gate == PartGate::Held {
            let service = ServiceId::from(SERVICE);
            let fingerprint = Fingerprint::from(request);
            let vm_state = &mut self.vms[vm];
            let output = vm_state.request_trial(self.now, &service, parts, request, fingerprint);
            self.deliver(vm, output);
            return self.vms[vm].gate(self.now, SERVICE, parts, request);
        }
        gate
    }

    pub(crate) fn is_refused(&mut self, vm: usize, parts: &[PromptPartId]) -> bool {
        let gate = self.vms[vm].gate(self.now, SERVICE, parts, 0);
        matches!(gate, PartGate::Refused { .. })
    }

    /// Reports at a VM that a request which has ended upstreams comes again with a quarantined part.
    pub(crate) fn repeat(&mut self, vm: usize, part: PromptPartId) {
        let output = self.vms[vm].report_repeated(self.now, &SERVICE.into(), part);
        self.deliver(vm, output);
    }

    /// Tells all VMs which requests are quarantined.
    pub(crate) fn quarantine_requests(&mut self, requests: &[u64]) {
        let requests = requests.iter().map(|request| Fingerprint::from(*request));
        let requests = requests.collect::<BTreeSet<_>>();
        for vm in 0..self.vms.len() {
            let output = self.vms[vm].set_crashing_requests(self.now, requests.clone());
            self.deliver(vm, output);
        }
    }

    pub(crate) fn explained_ends(&self, vm: usize) -> ExplainedEnds {
        self.vms[vm].explained_ends(self.now)
    }

    pub(crate) fn statuses(&self, vm: usize) -> Vec<PartStatus> {
        self.vms[vm].statuses(self.now)
    }

    pub(crate) fn clear(&mut self, vm: usize, part: PromptPartId) {
        let output = self.vms[vm].clear(self.now, part).unwrap();
        self.deliver(vm, output);
    }

    fn deliver(&mut self, from: usize, output: PartOutput) {
        for OutgoingPartMessage { message, to } in output.messages {
            let to = to.strip_prefix("vm-").unwrap().parse::<usize>().unwrap();
            self.sent_bytes[from] += size(&message);
            if self.live[to] {
                self.received[to] += 1;
                let output = self.vms[to].handle_message(self.now, &name(from), message);
                self.deliver(to, output);
            }
        }
    }
}

/// Bytes of a message's fields, without the names of upstreams and the service.
fn size(message: &PartMessage) -> usize {
    const PART: usize = 9;
    const NUMBER: usize = 3;
    const FINGERPRINT: usize = 19;
    match message {
        PartMessage::Acknowledged { parts, .. } => (PART + NUMBER + 1) * parts.len(),
        PartMessage::Announced { parts, .. } => {
            let parts = parts
                .iter()
                .map(|part| PART + NUMBER + 10 + FINGERPRINT * part.lost_requests.len());
            parts.sum()
        }
        PartMessage::Lost { runs, .. } => {
            let runs = runs
                .iter()
                .map(|run| 2 + FINGERPRINT + PART * run.parts.len());
            runs.sum()
        }
        PartMessage::RequestTrial { parts, .. } => FINGERPRINT + PART * parts.len(),
        PartMessage::Survived { parts, .. } => PART * parts.len(),
        PartMessage::Recorded { .. }
        | PartMessage::Repeated { .. }
        | PartMessage::Returned { .. }
        | PartMessage::TrialGranted { .. } => PART,
    }
}
