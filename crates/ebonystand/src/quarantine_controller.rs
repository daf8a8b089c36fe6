use super::*;
use {
    ebonystand_core::{
        ExplainedEnds, Fingerprint, Quarantine, QuarantineDecision, QuarantineMessage,
        QuarantineOutput, RunEnd, RunId, RunPermit, SuspectStatus,
    },
    node::Node,
    std::collections::BTreeSet,
};

/// Holds the quarantine, and the requests that wait for its answers.
pub(crate) struct QuarantineController {
    asking: RefCell<FxHashMap<RunId, oneshot::Sender<RunPermit>>>,
    busy: tokio::sync::Notify,
    /// Fingerprints of the quarantined requests that the log tells of.
    logged: RefCell<BTreeSet<Box<str>>>,
    quarantine: RefCell<Quarantine>,
}

impl QuarantineController {
    const TICK: Duration = Duration::from_millis(100);

    /// Waits until the request may run, and begins its run.
    pub(crate) async fn begin(
        &self,
        node: &Node,
        fingerprint: Fingerprint,
        limit: Duration,
    ) -> Result<RunId, Refusal> {
        let run = self.quarantine.borrow_mut().allocate_run();
        let verdict = self.try_begin(node, run, fingerprint);
        if !matches!(verdict, QuarantineDecision::PermitRequired) {
            return Self::begun(verdict, run);
        }
        let (tx, rx) = oneshot::channel();
        self.asking.borrow_mut().insert(run, tx);
        let now = node.clock.now();
        let step = self
            .quarantine
            .borrow_mut()
            .request_permit(now, run, fingerprint, limit);
        self.take(node, step);
        let permit = rx.await;
        match permit {
            Ok(RunPermit::Granted) => Self::begun(self.try_begin(node, run, fingerprint), run),
            Ok(RunPermit::Quarantined { remaining }) => {
                let message = "two upstreams went down while they ran this request";
                Err(Refusal::not_run(RefusalCode::Quarantined, message).with_retry_after(remaining))
            }
            Ok(RunPermit::Wait { retry_after }) => Err(Self::one_at_a_time(retry_after)),
            Err(_) => Err(Self::one_at_a_time(Quarantine::CRASH_ACK_TIMEOUT)),
        }
    }

    /// Ends a run. A crash is told to the other VMs meanwhile; nobody waits for that. The final
    /// answer of a request that is given up on is never held back, and a run on another upstream
    /// needs the owner's leave, which comes only once all VMs know.
    pub(crate) fn finished(&self, node: &Node, run: RunId, end: RunEnd) {
        let now = node.clock.now();
        let step = self.quarantine.borrow_mut().finish_run(now, run, end);
        self.take(node, step);
    }

    pub(crate) fn new(vm: VmId, first_run: RunId) -> Self {
        Self {
            asking: RefCell::default(),
            busy: tokio::sync::Notify::new(),
            logged: RefCell::default(),
            quarantine: RefCell::new(Quarantine::new(vm, first_run)),
        }
    }

    pub(crate) fn receive(&self, node: &Node, from: &VmId, message: QuarantineMessage) {
        let now = node.clock.now();
        let step = self
            .quarantine
            .borrow_mut()
            .handle_message(now, from, message);
        self.take(node, step);
    }

    /// Waits while a request of a route is held back, and returns its refusal if it is quarantined.
    /// `fingerprint` is called only if an upstream went down lately.
    pub(crate) async fn check(
        &self,
        node: &Node,
        fingerprint: impl FnOnce() -> Fingerprint,
    ) -> Option<Refusal> {
        const POLL_INTERVAL: Duration = Duration::from_millis(20);
        if !self.quarantine.borrow().is_watching(node.clock.now()) {
            return None;
        }
        let fingerprint = fingerprint();
        while self
            .quarantine
            .borrow()
            .is_held(node.clock.now(), fingerprint)
        {
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
        self.refusal(node.clock.now(), fingerprint)
    }

    /// Clears a request by order of an operator. Returns false if this VM does not know it.
    pub(crate) fn clear(&self, node: &Node, fingerprint: Fingerprint) -> bool {
        let now = node.clock.now();
        let step = self.quarantine.borrow_mut().clear(now, fingerprint);
        let is_known = step.is_some();
        if let Some(step) = step {
            self.take(node, step);
        }
        is_known
    }

    /// Reports that an upstream went down while it ran a request of a route.
    pub(crate) fn report_crash(
        &self,
        node: &Node,
        fingerprint: Fingerprint,
        upstream: &UpstreamId,
    ) {
        let now = node.clock.now();
        let mut quarantine = self.quarantine.borrow_mut();
        let step = quarantine.report_crash(now, fingerprint, upstream);
        drop(quarantine);
        self.take(node, step);
    }

    /// Records that an upstream has survived a request of a route. `fingerprint` is called only if an
    /// upstream went down lately.
    pub(crate) fn record_survival(&self, node: &Node, fingerprint: impl FnOnce() -> Fingerprint) {
        let now = node.clock.now();
        let mut quarantine = self.quarantine.borrow_mut();
        if quarantine.is_watching(now) {
            let step = quarantine.record_survival(now, fingerprint());
            drop(quarantine);
            self.take(node, step);
        }
    }

    /// Returns the requests that are suspects or quarantined.
    pub(crate) fn statuses(&self, now: Duration) -> Vec<SuspectStatus> {
        self.quarantine.borrow().statuses(now).collect()
    }

    /// Returns whether a request has ended several upstreams.
    pub(crate) fn is_suspect(&self, now: Duration, fingerprint: Fingerprint) -> bool {
        self.quarantine.borrow().is_suspect(now, fingerprint)
    }

    pub(crate) fn refusal(&self, now: Duration, fingerprint: Fingerprint) -> Option<Refusal> {
        self.quarantine.borrow().refusal(now, fingerprint)
    }

    /// Tells a VM that has started anew, without its memory, of the suspects.
    pub(crate) fn restarted(&self, node: &Node, vm: &VmId) {
        let now = node.clock.now();
        let step = self.quarantine.borrow_mut().handle_restart(now, vm);
        self.take(node, step);
    }

    /// Lets time pass until the task is dropped.
    pub(crate) async fn run(node: Rc<Node>) {
        let this = &node.quarantine;
        loop {
            if !this.quarantine.borrow().is_busy() {
                this.busy.notified().await;
            }
            actix_rt::time::sleep(Self::TICK).await;
            let now = node.clock.now();
            let step = this.quarantine.borrow_mut().tick(now);
            this.take(&node, step);
            this.log_quarantined(&node, now);
            let quarantined = this.quarantine.borrow().quarantined(now);
            node.parts.set_crashing_requests(&node, quarantined);
        }
    }

    pub(crate) fn set_live(&self, now: Duration, live: BTreeSet<VmId>, region: BTreeSet<VmId>) {
        let mut quarantine = self.quarantine.borrow_mut();
        quarantine.set_region_vms(region);
        quarantine.set_live_vms(now, live);
        drop(quarantine);
        self.wake();
    }

    /// Sets the ends of upstreams that are no evidence against requests.
    pub(crate) fn set_explained_ends(&self, node: &Node, ends: ExplainedEnds) {
        let now = node.clock.now();
        let mut quarantine = self.quarantine.borrow_mut();
        let step = quarantine.set_explained_ends(now, ends);
        drop(quarantine);
        self.take(node, step);
    }

    fn begun(verdict: QuarantineDecision, run: RunId) -> Result<RunId, Refusal> {
        match verdict {
            QuarantineDecision::PermitRequired => {
                Err(Self::one_at_a_time(Quarantine::CRASH_ACK_TIMEOUT))
            }
            QuarantineDecision::Refused { refusal } => Err(refusal),
            QuarantineDecision::Started => Ok(run),
        }
    }

    /// Logs the requests that have been quarantined since the last call, and counts all of them.
    fn log_quarantined(&self, node: &Node, now: Duration) {
        let statuses = self.statuses(now);
        let quarantined = statuses.iter().filter(|status| status.is_quarantined);
        let quarantined = quarantined.map(|status| status.fingerprint.clone());
        let quarantined = quarantined.collect::<BTreeSet<_>>();
        node.metrics.suspects.set(statuses.len() as i64);
        node.metrics.quarantined.set(quarantined.len() as i64);
        let known = self.logged.replace(quarantined);
        let logged = self.logged.borrow();
        for status in statuses.iter().filter(|status| status.is_quarantined) {
            if !known.contains(&status.fingerprint) {
                log::warn!(
                    fingerprint:% = status.fingerprint, crashes = status.crashes,
                    announced_by:? = status.announced_by, upstreams:? = status.crashed_upstreams;
                    "request quarantined"
                );
            }
        }
        for fingerprint in known.difference(&logged) {
            log::info!(fingerprint:% = fingerprint; "request no longer quarantined");
        }
    }

    fn one_at_a_time(retry_after: Duration) -> Refusal {
        let message = "an upstream went down while it ran this request; one try at a time is made";
        Refusal::not_run(RefusalCode::Overloaded, message).with_retry_after(retry_after)
    }

    fn take(&self, node: &Node, step: QuarantineOutput) {
        for answer in step.permit_answers {
            if let Some(tx) = self.asking.borrow_mut().remove(&answer.run) {
                // The caller may have left; its permit then runs out unused.
                let _ = tx.send(answer.permit);
            }
        }
        for send in step.messages {
            node.send(&send.to, PeerMessage::Quarantine(send.message));
        }
        self.wake();
    }

    fn try_begin(&self, node: &Node, run: RunId, fingerprint: Fingerprint) -> QuarantineDecision {
        let now = node.clock.now();
        let verdict = self
            .quarantine
            .borrow_mut()
            .start_run(now, run, fingerprint);
        self.wake();
        verdict
    }

    fn wake(&self) {
        if self.quarantine.borrow().is_busy() {
            self.busy.notify_one();
        }
    }
}
