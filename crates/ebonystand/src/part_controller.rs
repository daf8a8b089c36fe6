use super::*;
use {
    ebonystand_core::{
        Fingerprint, LostRun, PartGate, PartMessage, PartOutput, PartQuarantine, PartStage,
        PartStatus, Prompt, PromptPartId,
    },
    gateway::RequestContent,
    node::Node,
    std::collections::BTreeSet,
};

/// Holds the quarantine of parts of prompts, and the prompts that wait for its decisions.
pub(crate) struct PartController {
    busy: tokio::sync::Notify,
    quarantine: RefCell<PartQuarantine>,
}

/// What a prompt is sent for, as far as its parts are concerned.
pub(crate) struct PartQuery<'a> {
    pub(crate) content: RequestContent,
    pub(crate) prompt: &'a Prompt,
    pub(crate) request: &'a str,
    pub(crate) service: &'a ServiceId,
    /// Time left for the request.
    pub(crate) remaining_time: Duration,
}

impl PartController {
    /// Largest number of parts that a log line names.
    const MAX_LOGGED: usize = 8;
    /// Longest time for which a prompt waits until its parts are cleared.
    const MAX_HOLD: Duration = Duration::from_secs(2);
    const POLL_INTERVAL: Duration = Duration::from_millis(20);
    /// Time to retry after for a prompt whose parts were not cleared in time.
    const RETRY_AFTER: Duration = Duration::from_secs(1);
    const TICK: Duration = Duration::from_millis(50);

    pub(crate) fn new(vm: VmId, first_report: u64) -> Self {
        Self {
            busy: tokio::sync::Notify::new(),
            quarantine: RefCell::new(PartQuarantine::new(vm, first_report)),
        }
    }

    /// Waits while a part of the prompt is a suspect and the prompt is not permitted as a trial. Returns the refusal of a
    /// prompt with a quarantined part, or of one that waited too long.
    pub(crate) async fn admit(&self, node: &Node, query: &PartQuery<'_>) -> Result<(), Refusal> {
        let parts = query.prompt.shared_part_ids();
        let since = node.clock.now();
        let until = since + Self::MAX_HOLD.min(query.remaining_time / 2);
        let request = PartQuarantine::request_key(query.request);
        let result = loop {
            let now = node.clock.now();
            let gate = self
                .quarantine
                .borrow()
                .gate(now, query.service, &parts, request);
            match gate {
                PartGate::Open => break Ok(()),
                PartGate::Refused { part, refusal } => {
                    node.metrics.part_refusals.inc();
                    let fingerprint = query.content.fingerprint();
                    if node.quarantine.is_suspect(now, fingerprint) {
                        self.report_repeated(node, query.service, part);
                    }
                    break Err(refusal);
                }
                PartGate::Held if now >= until => {
                    let message = "upstreams went down under a part of the prompt; whether it is the cause is not decided yet";
                    let refusal = Refusal::not_run(RefusalCode::Overloaded, message);
                    break Err(refusal.with_retry_after(Self::RETRY_AFTER));
                }
                PartGate::Held => {}
            }
            self.request_trial(node, query, &parts, request);
            actix_rt::time::sleep(Self::POLL_INTERVAL).await;
        };
        let held = node.clock.now().saturating_sub(since);
        if held >= Self::POLL_INTERVAL {
            node.metrics.part_holds.inc();
            log::info!(
                request:% = query.request, service:% = query.service, held_ms = held.as_millis() as u64,
                is_trial = self.is_trial(node, query.request), is_refused = result.is_err();
                "prompt held for a suspected part"
            );
        }
        result
    }

    fn request_trial(
        &self,
        node: &Node,
        query: &PartQuery<'_>,
        parts: &[PromptPartId],
        request: u64,
    ) {
        let now = node.clock.now();
        let fingerprint = query.content.fingerprint();
        let mut quarantine = self.quarantine.borrow_mut();
        let output = quarantine.request_trial(now, query.service, parts, request, fingerprint);
        drop(quarantine);
        self.take(node, output);
    }

    /// Sets the requests that are quarantined by themselves.
    pub(crate) fn set_crashing_requests(&self, node: &Node, requests: BTreeSet<Fingerprint>) {
        let now = node.clock.now();
        let mut quarantine = self.quarantine.borrow_mut();
        let output = quarantine.set_crashing_requests(now, requests);
        drop(quarantine);
        self.take(node, output);
    }

    fn report_repeated(&self, node: &Node, service: &ServiceId, part: PromptPartId) {
        let now = node.clock.now();
        let mut quarantine = self.quarantine.borrow_mut();
        let output = quarantine.report_repeated(now, service, part);
        drop(quarantine);
        self.take(node, output);
    }

    /// Returns whether upstreams of the service went down lately, so that parts of prompts matter.
    pub(crate) fn is_watching(&self, service: &str) -> bool {
        self.quarantine.borrow().is_watching(service)
    }

    /// Clears a part by order of an operator. Returns false if this VM does not know it.
    pub(crate) fn clear(&self, node: &Node, part: PromptPartId) -> bool {
        let output = self.quarantine.borrow_mut().clear(node.clock.now(), part);
        output.map(|output| self.take(node, output)).is_some()
    }

    /// Returns whether prompts with one of these parts are refused.
    pub(crate) fn is_refused(&self, node: &Node, query: &PartQuery<'_>) -> bool {
        let quarantine = self.quarantine.borrow();
        let parts = query.prompt.shared_part_ids();
        let request = PartQuarantine::request_key(query.request);
        let gate = quarantine.gate(node.clock.now(), query.service, &parts, request);
        matches!(gate, PartGate::Refused { .. })
    }

    /// Returns whether a request runs as a trial.
    pub(crate) fn is_trial(&self, node: &Node, request: &str) -> bool {
        let request = PartQuarantine::request_key(request);
        let quarantine = self.quarantine.borrow();
        quarantine.is_trial(node.clock.now(), request)
    }

    /// Reports runs that were lost with their upstream before they had begun to answer.
    pub(crate) fn report_loss(
        &self,
        node: &Node,
        service: &ServiceId,
        upstream: &UpstreamId,
        runs: Vec<LostRun>,
    ) {
        let now = node.clock.now();
        let mut quarantine = self.quarantine.borrow_mut();
        let output = quarantine.report_loss(now, service, upstream, runs);
        drop(quarantine);
        self.take(node, output);
    }

    /// Records that an upstream has begun an answer on a prompt with these parts.
    pub(crate) fn record_survival(&self, node: &Node, service: &ServiceId, parts: &[PromptPartId]) {
        let now = node.clock.now();
        let mut quarantine = self.quarantine.borrow_mut();
        let output = quarantine.record_survival(now, service, parts);
        drop(quarantine);
        self.take(node, output);
    }

    /// Lets another request run if this one was permitted and has not run.
    pub(crate) fn return_trial(&self, node: &Node, service: &ServiceId, request: &str) {
        let now = node.clock.now();
        let request = PartQuarantine::request_key(request);
        let output = self
            .quarantine
            .borrow_mut()
            .return_trial(now, service, request);
        self.take(node, output);
    }

    pub(crate) fn receive(&self, node: &Node, from: &VmId, message: PartMessage) {
        let now = node.clock.now();
        let output = self
            .quarantine
            .borrow_mut()
            .handle_message(now, from, message);
        self.take(node, output);
    }

    /// Tells a VM that has started anew, without its memory, of the suspects.
    pub(crate) fn restarted(&self, node: &Node, vm: &VmId) {
        let now = node.clock.now();
        let output = self.quarantine.borrow_mut().handle_restart(now, vm);
        self.take(node, output);
    }

    pub(crate) fn set_live(&self, node: &Node, live: BTreeSet<VmId>, region: BTreeSet<VmId>) {
        let mut quarantine = self.quarantine.borrow_mut();
        quarantine.set_region_vms(region);
        let output = quarantine.set_live_vms(node.clock.now(), live);
        drop(quarantine);
        self.take(node, output);
    }

    /// Returns the parts that are suspects or quarantined.
    pub(crate) fn statuses(&self, now: Duration) -> Vec<PartStatus> {
        self.quarantine.borrow().statuses(now)
    }

    /// Lets time pass until the task is dropped.
    pub(crate) async fn run(node: Rc<Node>) {
        let this = &node.parts;
        loop {
            if !this.quarantine.borrow().is_busy() {
                this.busy.notified().await;
            }
            actix_rt::time::sleep(Self::TICK).await;
            let now = node.clock.now();
            let output = this.quarantine.borrow_mut().tick(now);
            this.take(&node, output);
            let quarantine = this.quarantine.borrow();
            let explained = quarantine.explained_ends(now);
            node.quarantine.set_explained_ends(&node, explained);
            let (suspected, quarantined) = quarantine.count(now);
            node.metrics.suspected_parts.set(suspected as i64);
            node.metrics.quarantined_parts.set(quarantined as i64);
        }
    }

    fn take(&self, node: &Node, output: PartOutput) {
        Self::log(&output.changes);
        for send in output.messages {
            node.send(&send.to, PeerMessage::Part(send.message));
        }
        if self.quarantine.borrow().is_busy() {
            self.busy.notify_one();
        }
    }

    fn log(changes: &[PartStatus]) {
        for change in changes
            .iter()
            .filter(|change| change.stage == PartStage::Quarantined)
        {
            log::warn!(
                part:% = change.part, service:% = change.service, announced_by:? = change.announced_by,
                upstreams:? = change.crashed_upstreams, requests:? = change.requests;
                "part of prompts quarantined"
            );
        }
        for stage in [PartStage::Suspected, PartStage::Cleared] {
            let parts = changes.iter().filter(|change| change.stage == stage);
            let parts = parts.map(|change| &*change.part).collect::<Vec<_>>();
            if !parts.is_empty() {
                let first = &parts[..parts.len().min(Self::MAX_LOGGED)];
                log::info!(stage:? = stage, count = parts.len(), parts:% = first.join(" "); "parts of prompts under suspicion changed");
            }
        }
    }
}
