use {super::*, xxhash_rust::xxh3::Xxh3Default};

/// Keeps a request that crashes the upstreams it runs on from being sent again and again, through
/// whichever VM.
///
/// A request whose upstream went down is a suspect, of which all live VMs are told; once they know,
/// one run of it goes on at a time, by a grant of the VM that rendezvous hashing names. Its second
/// crash quarantines it. Requests that crashed nothing cost a lookup.
///
/// It takes messages that are lost, late or repeated. With VMs that see different lists of live
/// VMs, each side of a partition has an owner of its own and may lose one more upstream.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Quarantine {
    asks: BTreeMap<RunId, RunAsk>,
    ledger: SuspectLedger,
    me: VmId,
    next_run: RunId,
    reports: BTreeMap<RunId, RunReport>,
    runs: BTreeMap<RunId, Fingerprint>,
}

impl Quarantine {
    /// Time after which the VMs that have not confirmed a crash count as unreachable.
    pub const HOLD: Duration = Duration::from_millis(500);
    /// Time for which a quarantined request is refused.
    pub const QUARANTINED_FOR: Duration = Duration::from_secs(3_600);
    /// Time for which a suspect needs a grant.
    pub const SUSPECTED_FOR: Duration = Duration::from_secs(600);
    /// A grant starts its run within this time of the question, or not at all.
    pub const START_WITHIN: Duration = Duration::from_secs(2);
    /// State of a VM that has just started. Run numbers begin at `first_run`, which must be
    /// higher than those of the VM's earlier life.
    #[must_use]
    pub fn new(me: VmId, first_run: RunId) -> Self {
        Self {
            asks: BTreeMap::new(),
            ledger: SuspectLedger::new(me.clone()),
            me,
            next_run: first_run,
            reports: BTreeMap::new(),
            runs: BTreeMap::new(),
        }
    }

    /// Asks the owner for a run of a suspect that takes at most `limit`. The answer comes as
    /// [`QuarantineStep::answers`], of this or a later step; without one in
    /// [`Self::START_WITHIN`] the answer is [`RunPermit::Wait`].
    pub fn ask(
        &mut self,
        now: Duration,
        run: RunId,
        fingerprint: Fingerprint,
        limit: Duration,
    ) -> QuarantineStep {
        let ask = RunAsk {
            fingerprint,
            is_granted: false,
            start_by: now + Self::START_WITHIN,
        };
        self.asks.insert(run, ask);
        let message = QuarantineMessage::Ask {
            fingerprint,
            limit,
            run,
        };
        self.send_to_owner(now, fingerprint, message)
    }

    /// Starts a run if it may start now. To be called right before the dispatch, since a crash
    /// may have been reported while the request waited.
    pub fn begin(
        &mut self,
        now: Duration,
        run: RunId,
        fingerprint: Fingerprint,
    ) -> QuarantineVerdict {
        if let Some(refusal) = self.refusal(now, fingerprint) {
            return QuarantineVerdict::Refused { refusal };
        }
        let ask = self.asks.remove(&run);
        let is_granted = ask.is_some_and(|ask| {
            ask.is_granted && ask.fingerprint == fingerprint && now < ask.start_by
        });
        if !is_granted && self.ledger.get(now, fingerprint).is_some() {
            return QuarantineVerdict::Ask;
        }
        self.runs.insert(run, fingerprint);
        QuarantineVerdict::Runs
    }

    /// Fingerprint of a request.
    #[must_use]
    pub fn fingerprint(workspace: &str, target: &str, body: &[u8]) -> Fingerprint {
        let mut hasher = Xxh3Default::new();
        for part in [workspace.as_bytes(), target.as_bytes(), body] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        hasher.digest128()
    }

    /// Ends a run. A crash is known to all VMs once the run is in [`QuarantineStep::recorded`], or
    /// after [`Self::HOLD`]. A caller that is answered before and sends again at once may reach a VM
    /// that does not know yet; the daemon answers at once all the same and tells when to come back.
    pub fn finished(&mut self, now: Duration, run: RunId, end: RunEnd) -> QuarantineStep {
        let Some(fingerprint) = self.runs.remove(&run) else {
            return QuarantineStep::default();
        };
        let is_running = self.is_running(fingerprint);
        match end {
            RunEnd::Clean if self.ledger.get(now, fingerprint).is_none() => {
                QuarantineStep::default()
            }
            RunEnd::Clean => {
                let message = QuarantineMessage::Ended {
                    fingerprint,
                    is_running,
                    run,
                };
                self.report(now, fingerprint, run, message)
            }
            RunEnd::Crashed { upstream } => {
                let message = QuarantineMessage::Crashed {
                    fingerprint,
                    is_running,
                    run,
                    upstream,
                };
                self.report(now, fingerprint, run, message)
            }
        }
    }

    /// Number of a new run.
    pub fn new_run(&mut self) -> RunId {
        self.next_run += 1;
        self.next_run
    }

    /// Takes a message of another VM.
    pub fn receive(
        &mut self,
        now: Duration,
        from: &VmId,
        message: QuarantineMessage,
    ) -> QuarantineStep {
        let mut step = QuarantineStep::default();
        self.take(now, from, message, &mut step);
        self.settle(now, step)
    }

    /// The refusal of a quarantined request, for an early filter.
    #[must_use]
    pub fn refusal(&self, now: Duration, fingerprint: Fingerprint) -> Option<Refusal> {
        let suspect = self.ledger.get(now, fingerprint)?;
        suspect.is_quarantined.then(|| {
            Refusal::not_run(
                RefusalCode::Quarantined,
                "two upstreams went down while they ran this request",
            )
            .with_retry_after(suspect.until.saturating_sub(now))
        })
    }

    /// A VM has started anew, without its memory: tells it of the suspects that this VM owns.
    pub fn restarted(&mut self, now: Duration, vm: &VmId) -> QuarantineStep {
        let mut step = QuarantineStep::default();
        self.ledger.restarted(now, vm, &mut step);
        step
    }

    /// Takes the list of live VMs; equal lists make equal owners.
    pub fn set_live(&mut self, now: Duration, live: BTreeSet<VmId>) {
        self.ledger.set_live(now, live);
    }

    /// Time has passed: sends again what is not confirmed, and gives up on what is too old. To be
    /// called a few times a second while [`Self::is_busy`].
    pub fn tick(&mut self, now: Duration) -> QuarantineStep {
        let mut step = QuarantineStep::default();
        self.ledger.tick(now, &mut step);
        self.expire_asks(now, &mut step);
        self.resend_reports(now, &mut step);
        self.settle(now, step)
    }

    /// Whether there is anything for [`Self::tick`] to do.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        !self.asks.is_empty() || !self.reports.is_empty() || !self.ledger.is_empty()
    }

    fn expire_asks(&mut self, now: Duration, step: &mut QuarantineStep) {
        self.asks.retain(|run, ask| {
            let is_live = now < ask.start_by;
            if !is_live && !ask.is_granted {
                step.answers.push(PermitAnswer {
                    permit: RunPermit::Wait {
                        retry_after: Self::HOLD,
                    },
                    run: *run,
                });
            }
            is_live
        });
    }

    /// Whether a run is under way, or has crashed its upstream without the owner knowing: a grant
    /// in between would let a third upstream go down before the second crash is counted.
    fn is_running(&self, fingerprint: Fingerprint) -> bool {
        let mut running = self.runs.values();
        let mut reports = self.reports.values();
        running.any(|running| *running == fingerprint)
            || reports.any(|report| report.fingerprint == fingerprint && report.is_crash())
    }

    /// Reports the end of a run until the owner confirms it.
    fn report(
        &mut self,
        now: Duration,
        fingerprint: Fingerprint,
        run: RunId,
        message: QuarantineMessage,
    ) -> QuarantineStep {
        let until = now + Self::SUSPECTED_FOR;
        self.ledger.remember(now, fingerprint, until);
        let report = RunReport {
            fingerprint,
            message: message.clone(),
            sent_at: now,
            until,
        };
        self.reports.insert(run, report);
        self.send_to_owner(now, fingerprint, message)
    }

    fn resend_reports(&mut self, now: Duration, step: &mut QuarantineStep) {
        self.reports.retain(|_, report| now < report.until);
        for report in self.reports.values_mut() {
            if now < report.sent_at + SuspectLedger::RESEND {
                continue;
            }
            report.sent_at = now;
            if let Some(owner) = self.ledger.owner(report.fingerprint) {
                step.send(owner, report.message.clone());
            }
        }
    }

    fn send_to_owner(
        &mut self,
        now: Duration,
        fingerprint: Fingerprint,
        message: QuarantineMessage,
    ) -> QuarantineStep {
        let mut step = QuarantineStep::default();
        if let Some(owner) = self.ledger.owner(fingerprint) {
            step.send(owner, message);
        }
        self.settle(now, step)
    }

    /// Takes the messages of a step that are to this VM itself.
    fn settle(&mut self, now: Duration, mut step: QuarantineStep) -> QuarantineStep {
        let me = self.me.clone();
        while let Some(at) = step.sends.iter().position(|send| send.to == me) {
            let send = step.sends.remove(at);
            self.take(now, &me, send.message, &mut step);
        }
        step
    }

    fn take(
        &mut self,
        now: Duration,
        from: &VmId,
        message: QuarantineMessage,
        step: &mut QuarantineStep,
    ) {
        match message {
            QuarantineMessage::Answer { permit, run } => self.take_answer(now, run, permit, step),
            QuarantineMessage::Quarantined {
                fingerprint,
                remaining,
            } => {
                let until = now + remaining;
                self.ledger.remember(now, fingerprint, until).is_quarantined = true;
                self.tell_owner(from, fingerprint, step);
            }
            QuarantineMessage::Recorded { run } => {
                let report = self.reports.remove(&run);
                step.recorded.extend(report.map(|_| run));
            }
            QuarantineMessage::Suspected {
                fingerprint,
                remaining,
            } => {
                self.ledger.remember(now, fingerprint, now + remaining);
                self.tell_owner(from, fingerprint, step);
            }
            QuarantineMessage::Ask { .. }
            | QuarantineMessage::Crashed { .. }
            | QuarantineMessage::Ended { .. }
            | QuarantineMessage::Told { .. } => self.take_as_owner(now, from, message, step),
        }
    }

    fn take_answer(
        &mut self,
        now: Duration,
        run: RunId,
        permit: RunPermit,
        step: &mut QuarantineStep,
    ) {
        let waiting = |ask: &&mut RunAsk| !ask.is_granted && now < ask.start_by;
        let Some(ask) = self.asks.get_mut(&run).filter(waiting) else {
            return;
        };
        let fingerprint = ask.fingerprint;
        ask.is_granted = permit == RunPermit::Granted;
        if !ask.is_granted {
            self.asks.remove(&run);
        }
        if let RunPermit::Quarantined { remaining } = permit {
            let until = now + remaining;
            self.ledger.remember(now, fingerprint, until).is_quarantined = true;
        }
        step.answers.push(PermitAnswer { permit, run });
    }

    fn take_as_owner(
        &mut self,
        now: Duration,
        from: &VmId,
        message: QuarantineMessage,
        step: &mut QuarantineStep,
    ) {
        let vm = from.clone();
        match message {
            QuarantineMessage::Ask {
                fingerprint,
                limit,
                run,
            } => {
                let of = RunOf { run, vm };
                let permit = self.ledger.answer(now, fingerprint, of, limit);
                step.send(from, QuarantineMessage::Answer { permit, run });
            }
            QuarantineMessage::Crashed {
                fingerprint,
                is_running,
                run,
                upstream,
            } => {
                let runs_here = self.is_running(fingerprint);
                let crash = CrashOf::new(is_running, RunOf { run, vm }, upstream);
                self.ledger.count(now, fingerprint, crash, runs_here, step);
            }
            QuarantineMessage::Ended {
                fingerprint,
                is_running,
                run,
            } => {
                self.ledger.end(fingerprint, &RunOf { run, vm }, is_running);
                step.send(from, QuarantineMessage::Recorded { run });
            }
            QuarantineMessage::Told {
                fingerprint,
                is_running,
            } => self.ledger.hear(now, fingerprint, from, is_running, step),
            _ => {}
        }
    }

    fn tell_owner(&self, owner: &VmId, fingerprint: Fingerprint, step: &mut QuarantineStep) {
        let message = QuarantineMessage::Told {
            fingerprint,
            is_running: self.is_running(fingerprint),
        };
        step.send(owner, message);
    }
}
