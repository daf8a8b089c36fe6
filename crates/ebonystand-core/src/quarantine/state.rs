use {super::*, xxhash_rust::xxh3::Xxh3Default};

/// Stops a request that crashes the upstreams it runs on from being retried without limit,
/// whichever VM its caller uses. Its crashes count by one of two [`CrashRule`]s.
///
/// By [`CrashRule::Permits`], a request whose upstream went down becomes a suspect, and the VM that
/// owns it by rendezvous hashing announces it to all live VMs. Once they know of it, the owner grants
/// one run at a time. A second crash quarantines the request.
///
/// By [`CrashRule::Evidence`], two VMs count the crashes and announce the request to the others only
/// when it becomes a suspect and when it is quarantined, so that the loss of many upstreams costs
/// two messages for each run that was lost with them.
///
/// A request that has crashed nothing costs one table lookup.
///
/// Messages may be lost, late or duplicated. While VMs disagree on which VMs are live, each side of
/// a partition has its own owner and may lose one more upstream.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Quarantine {
    pending_permits: BTreeMap<RunId, PermitRequest>,
    suspects: SuspectTable,
    own_id: VmId,
    next_run: RunId,
    pending_reports: BTreeMap<RunId, PendingRunReport>,
    active_runs: BTreeMap<RunId, Fingerprint>,
    survivals: Survivals,
    /// Time until which survivals are remembered, since an upstream went down.
    watch_until: Duration,
}

impl Quarantine {
    /// Largest number of reports that await confirmation. Beyond it, ends of runs go unreported.
    const MAX_PENDING_REPORTS: usize = 4_096;
    /// Time after which VMs that have not acknowledged a crash count as unreachable.
    pub const CRASH_ACK_TIMEOUT: Duration = Duration::from_millis(500);
    /// Time for which a quarantined request is refused.
    pub const QUARANTINE_DURATION: Duration = Duration::from_secs(3_600);
    /// Time for which a suspect needs a permit for each run.
    pub const SUSPECT_DURATION: Duration = Duration::from_secs(600);
    /// Time after the third crash of a request by [`CrashRule::Evidence`] within which another run of
    /// it may show that upstreams survive it.
    pub const SURVIVAL_TIMEOUT: Duration = Duration::from_secs(1);
    /// Time after the permit request within which a granted run must start. A run that started
    /// later could outlast its grant, so it is refused.
    pub const START_TIMEOUT: Duration = Duration::from_secs(2);

    /// State of a VM that has just started. Run ids are allocated above `first_run`, which must be
    /// higher than every id that the VM used before its restart.
    #[must_use]
    pub fn new(own_id: VmId, first_run: RunId) -> Self {
        Self {
            pending_permits: BTreeMap::new(),
            suspects: SuspectTable::new(own_id.clone(), first_run),
            own_id,
            next_run: first_run,
            pending_reports: BTreeMap::new(),
            active_runs: BTreeMap::new(),
            survivals: Survivals::default(),
            watch_until: Duration::ZERO,
        }
    }

    /// Requests a permit from the owner for a run of a suspect that takes at most `limit`. The
    /// reply arrives in [`QuarantineOutput::permit_answers`] of this or a later output. Without a
    /// reply within [`Self::START_TIMEOUT`] it is [`RunPermit::Wait`].
    pub fn request_permit(
        &mut self,
        now: Duration,
        run: RunId,
        fingerprint: Fingerprint,
        limit: Duration,
    ) -> QuarantineOutput {
        let request = PermitRequest {
            fingerprint,
            is_granted: false,
            start_deadline: now + Self::START_TIMEOUT,
        };
        self.pending_permits.insert(run, request);
        let message = QuarantineMessage::RequestPermit {
            fingerprint,
            limit,
            run,
        };
        self.send_to_owner(now, fingerprint, message)
    }

    /// Starts a run if it may start now. Call it right before the dispatch, since a crash may have
    /// been reported while the request was queued.
    pub fn start_run(
        &mut self,
        now: Duration,
        run: RunId,
        fingerprint: Fingerprint,
    ) -> QuarantineDecision {
        if let Some(refusal) = self.refusal(now, fingerprint) {
            return QuarantineDecision::Refused { refusal };
        }
        let request = self.pending_permits.remove(&run);
        let is_granted = request.is_some_and(|request| {
            request.is_granted && request.fingerprint == fingerprint && now < request.start_deadline
        });
        if !is_granted && self.suspects.get(now, fingerprint).is_some() {
            return QuarantineDecision::PermitRequired;
        }
        self.active_runs.insert(run, fingerprint);
        QuarantineDecision::Started
    }

    /// Hash of a request's workspace, target and body. Equal requests have equal fingerprints on
    /// every VM.
    #[must_use]
    pub fn fingerprint(workspace: &str, target: &str, body: &[u8]) -> Fingerprint {
        let mut hasher = Xxh3Default::new();
        for part in [workspace.as_bytes(), target.as_bytes(), body] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        hasher.digest128()
    }

    /// Ends a run. A crash is known to all VMs once [`QuarantineOutput::recorded_runs`] lists the
    /// run, or after [`Self::CRASH_ACK_TIMEOUT`]. A caller that is answered earlier and retries at
    /// once may reach a VM that does not know of the crash yet. The daemon still answers without
    /// this wait, with a time to retry after.
    pub fn finish_run(&mut self, now: Duration, run: RunId, end: RunEnd) -> QuarantineOutput {
        let Some(fingerprint) = self.active_runs.remove(&run) else {
            return QuarantineOutput::default();
        };
        let is_running = self.is_running(fingerprint);
        match end {
            RunEnd::Clean if self.suspects.get(now, fingerprint).is_none() => {
                QuarantineOutput::default()
            }
            RunEnd::Clean => {
                let message = QuarantineMessage::Ended {
                    fingerprint,
                    is_running,
                    run,
                };
                self.report_run_end(now, fingerprint, run, message)
            }
            RunEnd::Crashed { upstream } => {
                let message = QuarantineMessage::Crashed {
                    fingerprint,
                    is_running,
                    rule: CrashRule::Permits,
                    run,
                    upstream,
                };
                self.report_run_end(now, fingerprint, run, message)
            }
        }
    }

    /// Reports that an upstream went down during a run by [`CrashRule::Evidence`].
    pub fn report_crash(
        &mut self,
        now: Duration,
        fingerprint: Fingerprint,
        upstream: &UpstreamId,
    ) -> QuarantineOutput {
        self.watch_until = now + Self::SUSPECT_DURATION;
        self.report_to_counters(now, fingerprint, |run| QuarantineMessage::Crashed {
            fingerprint,
            is_running: false,
            rule: CrashRule::Evidence,
            run,
            upstream: upstream.clone(),
        })
    }

    /// Records that an upstream has survived a run by [`CrashRule::Evidence`], and reports it if the
    /// request is a suspect. Call it only while [`Self::is_watching`].
    pub fn record_survival(&mut self, now: Duration, fingerprint: Fingerprint) -> QuarantineOutput {
        if self.is_suspect(now, fingerprint) {
            return self.report_survival(now, fingerprint);
        }
        self.survivals.record(now, fingerprint);
        QuarantineOutput::default()
    }

    fn report_survival(&mut self, now: Duration, fingerprint: Fingerprint) -> QuarantineOutput {
        self.report_to_counters(now, fingerprint, |run| QuarantineMessage::Survived {
            fingerprint,
            run,
        })
    }

    /// Sets the ends of upstreams that are no evidence against the requests of [`CrashRule::Evidence`] which were lost with
    /// them, since something else explains them.
    pub fn set_explained_ends(&mut self, now: Duration, ends: ExplainedEnds) -> QuarantineOutput {
        let mut output = QuarantineOutput::default();
        self.suspects.set_explained(now, ends, &mut output);
        self.handle_own_messages(now, output)
    }

    /// Clears a request by order of an operator, on all VMs. Returns `None` if this VM does not know
    /// it.
    pub fn clear(&mut self, now: Duration, fingerprint: Fingerprint) -> Option<QuarantineOutput> {
        self.suspects.get(now, fingerprint)?;
        let mut output = QuarantineOutput::default();
        self.suspects.clear(now, fingerprint, &mut output);
        Some(output)
    }

    /// Returns whether new runs of a request are held back for now, at most for some two seconds.
    #[must_use]
    pub fn is_held(&self, now: Duration, fingerprint: Fingerprint) -> bool {
        let suspect = self.suspects.get(now, fingerprint);
        suspect.is_some_and(|suspect| suspect.is_held(now))
    }

    /// Returns whether a request is a suspect or quarantined.
    #[must_use]
    pub fn is_suspect(&self, now: Duration, fingerprint: Fingerprint) -> bool {
        let suspect = self.suspects.get(now, fingerprint);
        suspect.is_some_and(|suspect| suspect.stage.is_suspect())
    }

    /// Returns whether an upstream went down lately as far as this VM knows, so that the fingerprints
    /// of requests matter.
    #[must_use]
    pub fn is_watching(&self, now: Duration) -> bool {
        now < self.watch_until || !self.suspects.is_empty()
    }

    /// Returns the requests that this VM knows to be suspects or quarantined.
    pub fn statuses(&self, now: Duration) -> impl Iterator<Item = SuspectStatus> {
        let suspects = self.suspects.iter();
        let suspects = suspects.filter(move |(_, suspect)| suspect.expires_at > now);
        suspects
            .filter(|(_, suspect)| suspect.stage.is_suspect())
            .map(move |(fingerprint, suspect)| SuspectStatus {
                announced_by: suspect.announced_by.clone(),
                crashed_upstreams: suspect.crashed_upstreams().cloned().collect(),
                crashes: suspect.crashes(),
                fingerprint: format!("{fingerprint:032x}").into(),
                is_quarantined: suspect.is_quarantined(),
                remaining_ms: suspect.expires_at.saturating_sub(now).as_millis() as u64,
            })
    }

    /// Returns the requests that this VM refuses as quarantined.
    #[must_use]
    pub fn quarantined(&self, now: Duration) -> BTreeSet<Fingerprint> {
        let suspects = self.suspects.iter();
        let quarantined =
            suspects.filter(|(_, suspect)| suspect.is_quarantined() && suspect.expires_at > now);
        quarantined.map(|(fingerprint, _)| fingerprint).collect()
    }

    /// Returns a run id that this VM has not used before.
    pub fn allocate_run(&mut self) -> RunId {
        self.next_run += 1;
        self.next_run
    }

    /// Handles a message from another VM.
    pub fn handle_message(
        &mut self,
        now: Duration,
        from: &VmId,
        message: QuarantineMessage,
    ) -> QuarantineOutput {
        let mut output = QuarantineOutput::default();
        self.handle(now, from, message, &mut output);
        self.handle_own_messages(now, output)
    }

    /// Refusal of a request that is quarantined, for rejecting it before it is queued.
    #[must_use]
    pub fn refusal(&self, now: Duration, fingerprint: Fingerprint) -> Option<Refusal> {
        let suspect = self.suspects.get(now, fingerprint)?;
        suspect.is_quarantined().then(|| {
            let message =
                format!("upstreams went down while they ran this request {fingerprint:032x}");
            Refusal::not_run(RefusalCode::Quarantined, message)
                .with_retry_after(suspect.expires_at.saturating_sub(now))
        })
    }

    /// Announces the suspects that this VM owns to a VM that has restarted and therefore knows of
    /// none of them.
    pub fn handle_restart(&mut self, now: Duration, vm: &VmId) -> QuarantineOutput {
        let mut output = QuarantineOutput::default();
        self.suspects.announce_to_restarted(now, vm, &mut output);
        output
    }

    /// Sets the live VMs of the own region.
    pub fn set_region_vms(&mut self, live: BTreeSet<VmId>) {
        self.suspects.set_region_vms(live);
    }

    /// Sets the list of live VMs. VMs with equal lists select the same owner for each request.
    pub fn set_live_vms(&mut self, now: Duration, live: BTreeSet<VmId>) {
        self.suspects.set_live_vms(now, live);
    }

    /// Resends unconfirmed messages and drops expired entries. Call it a few times a second while
    /// [`Self::is_busy`].
    pub fn tick(&mut self, now: Duration) -> QuarantineOutput {
        let mut output = QuarantineOutput::default();
        self.suspects.tick(now, &mut output);
        self.expire_permit_requests(now, &mut output);
        self.resend_reports(now, &mut output);
        self.handle_own_messages(now, output)
    }

    /// Whether [`Self::tick`] has anything to resend or to expire.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        !self.pending_permits.is_empty()
            || !self.pending_reports.is_empty()
            || !self.suspects.is_empty()
    }

    fn expire_permit_requests(&mut self, now: Duration, output: &mut QuarantineOutput) {
        self.pending_permits.retain(|run, request| {
            let is_live = now < request.start_deadline;
            if !is_live && !request.is_granted {
                output.permit_answers.push(PermitAnswer {
                    permit: RunPermit::Wait {
                        retry_after: Self::CRASH_ACK_TIMEOUT,
                    },
                    run: *run,
                });
            }
            is_live
        });
    }

    /// Whether a run of the request is in progress on this VM, or has crashed its upstream without
    /// the owner's confirmation. A grant in between would let a third upstream go down before the
    /// owner counts the second crash.
    fn is_running(&self, fingerprint: Fingerprint) -> bool {
        let mut running = self.active_runs.values();
        let mut pending_reports = self.pending_reports.values();
        running.any(|running| *running == fingerprint)
            || pending_reports.any(|report| report.fingerprint == fingerprint && report.is_crash())
    }

    /// Reports the end of a run to the owner, and resends the report until the owner confirms it.
    fn report_run_end(
        &mut self,
        now: Duration,
        fingerprint: Fingerprint,
        run: RunId,
        message: QuarantineMessage,
    ) -> QuarantineOutput {
        let until = now + Self::SUSPECT_DURATION;
        self.suspects.track_until(now, fingerprint, until).suspect();
        let report = PendingRunReport {
            fingerprint,
            message: message.clone(),
            sent_at: now,
            resend_until: until,
            to: None,
        };
        self.pending_reports.insert(run, report);
        self.send_to_owner(now, fingerprint, message)
    }

    /// Reports the end of a run to the VMs that count the crashes of its request, and resends the
    /// reports until they confirm them or are gone.
    fn report_to_counters(
        &mut self,
        now: Duration,
        fingerprint: Fingerprint,
        message: impl Fn(RunId) -> QuarantineMessage,
    ) -> QuarantineOutput {
        let mut output = QuarantineOutput::default();
        let counters = self.suspects.counters(fingerprint);
        let counters = counters.into_iter().cloned().collect::<Vec<_>>();
        for to in counters {
            if self.pending_reports.len() >= Self::MAX_PENDING_REPORTS {
                break;
            }
            let run = self.allocate_run();
            let message = message(run);
            output.send(&to, message.clone());
            let report = PendingRunReport {
                fingerprint,
                message,
                sent_at: now,
                resend_until: now + Self::SUSPECT_DURATION,
                to: Some(to),
            };
            self.pending_reports.insert(run, report);
        }
        self.handle_own_messages(now, output)
    }

    fn resend_reports(&mut self, now: Duration, output: &mut QuarantineOutput) {
        let suspects = &self.suspects;
        self.pending_reports.retain(|_, report| {
            let is_receivable = report.to.as_ref().is_none_or(|to| suspects.is_live(to));
            now < report.resend_until && is_receivable
        });
        for report in self.pending_reports.values_mut() {
            if now < report.sent_at + SuspectTable::RESEND_INTERVAL {
                continue;
            }
            report.sent_at = now;
            let owner = self.suspects.owner(report.fingerprint);
            if let Some(to) = report.to.as_ref().or(owner) {
                output.send(to, report.message.clone());
            }
        }
    }

    fn send_to_owner(
        &mut self,
        now: Duration,
        fingerprint: Fingerprint,
        message: QuarantineMessage,
    ) -> QuarantineOutput {
        let mut output = QuarantineOutput::default();
        if let Some(owner) = self.suspects.owner(fingerprint) {
            output.send(owner, message);
        }
        self.handle_own_messages(now, output)
    }

    /// Handles the output's messages that are addressed to this VM itself.
    fn handle_own_messages(
        &mut self,
        now: Duration,
        mut output: QuarantineOutput,
    ) -> QuarantineOutput {
        let own_id = self.own_id.clone();
        while let Some(at) = output.messages.iter().position(|send| send.to == own_id) {
            let send = output.messages.remove(at);
            self.handle(now, &own_id, send.message, &mut output);
        }
        output
    }

    fn handle(
        &mut self,
        now: Duration,
        from: &VmId,
        message: QuarantineMessage,
        output: &mut QuarantineOutput,
    ) {
        match message {
            QuarantineMessage::Answer { permit, run } => {
                self.handle_answer(now, run, permit, output)
            }
            QuarantineMessage::Announced {
                announcement,
                fingerprint,
                remaining,
                stage,
            } => {
                self.suspects
                    .record_announced(now, from, fingerprint, stage, remaining, output);
                self.acknowledge(from, fingerprint, (announcement, stage), output);
                if stage.is_suspect() && self.survivals.contains(now, fingerprint) {
                    output.append(self.report_survival(now, fingerprint));
                }
            }
            QuarantineMessage::Recorded { run } => {
                let report = self.pending_reports.remove(&run);
                output.recorded_runs.extend(report.map(|_| run));
            }
            QuarantineMessage::RequestPermit { .. }
            | QuarantineMessage::Crashed { .. }
            | QuarantineMessage::Ended { .. }
            | QuarantineMessage::Survived { .. }
            | QuarantineMessage::Acknowledged { .. } => {
                self.handle_as_owner(now, from, message, output)
            }
        }
    }

    fn handle_answer(
        &mut self,
        now: Duration,
        run: RunId,
        permit: RunPermit,
        output: &mut QuarantineOutput,
    ) {
        let waiting =
            |request: &&mut PermitRequest| !request.is_granted && now < request.start_deadline;
        let Some(request) = self.pending_permits.get_mut(&run).filter(waiting) else {
            return;
        };
        let fingerprint = request.fingerprint;
        request.is_granted = permit == RunPermit::Granted;
        if !request.is_granted {
            self.pending_permits.remove(&run);
        }
        if let RunPermit::Quarantined { remaining } = permit {
            let until = now + remaining;
            self.suspects.track_until(now, fingerprint, until).stage = SuspectStage::Quarantined;
        }
        output.permit_answers.push(PermitAnswer { permit, run });
    }

    fn handle_as_owner(
        &mut self,
        now: Duration,
        from: &VmId,
        message: QuarantineMessage,
        output: &mut QuarantineOutput,
    ) {
        let vm = from.clone();
        match message {
            QuarantineMessage::RequestPermit {
                fingerprint,
                limit,
                run,
            } => {
                let of = VmRun { run, vm };
                let permit = self
                    .suspects
                    .answer_permit_request(now, fingerprint, of, limit);
                output.send(from, QuarantineMessage::Answer { permit, run });
            }
            QuarantineMessage::Crashed {
                fingerprint,
                is_running,
                rule,
                run,
                upstream,
            } => {
                let runs_here = self.is_running(fingerprint);
                let crash = CrashReport::new(is_running, rule, VmRun { run, vm }, upstream);
                if crash.rule == CrashRule::Evidence && self.survivals.contains(now, fingerprint) {
                    self.suspects.clear_survived(now, fingerprint, output);
                }
                self.suspects
                    .count_crash(now, fingerprint, crash, runs_here, output);
            }
            QuarantineMessage::Ended {
                fingerprint,
                is_running,
                run,
            } => {
                self.suspects
                    .end_run(fingerprint, &VmRun { run, vm }, is_running);
                output.send(from, QuarantineMessage::Recorded { run });
            }
            QuarantineMessage::Survived { fingerprint, run } => {
                self.suspects.clear_survived(now, fingerprint, output);
                output.send(from, QuarantineMessage::Recorded { run });
            }
            QuarantineMessage::Acknowledged {
                announcement,
                fingerprint,
                is_running,
                stage,
            } => {
                let announced = (announcement, stage);
                self.suspects
                    .handle_acknowledgement(fingerprint, from, announced, is_running);
                self.suspects.confirm_reports(now, fingerprint, output);
            }
            _ => {}
        }
    }

    fn acknowledge(
        &self,
        owner: &VmId,
        fingerprint: Fingerprint,
        (announcement, stage): (u64, SuspectStage),
        output: &mut QuarantineOutput,
    ) {
        let message = QuarantineMessage::Acknowledged {
            announcement,
            fingerprint,
            is_running: self.is_running(fingerprint),
            stage,
        };
        output.send(owner, message);
    }
}
