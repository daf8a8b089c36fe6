use {super::*, derive_more::Constructor};

/// State that one VM keeps of a request that crashed upstreams. All VMs hold the quarantine state
/// and its expiry; only the owner uses the other fields.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct Suspect {
    /// VM that announced the request last.
    pub(crate) announced_by: Option<VmId>,
    /// Number of the last announcement to the VMs; a VM that has restarted gets one with a new number.
    pub(crate) announcement: u64,
    /// Runs whose crash report was counted. A repeated report is ignored.
    counted_runs: BTreeSet<VmRun>,
    /// Number of crashes that count towards the quarantine.
    crashes: u32,
    pub(crate) grant: Option<RunGrant>,
    /// Time before which no run is granted, since a run granted by a previous owner may be in
    /// progress.
    pub(crate) handover_until: Duration,
    /// Time at which VMs that have not acknowledged the suspect count as unreachable. Before it, no
    /// run is granted until all VMs have acknowledged.
    pub(crate) ack_deadline: Duration,
    pub(crate) stage: SuspectStage,
    /// Time until which new runs are held back.
    held_until: Duration,
    /// Time until which crashes do not count, because an upstream has just survived the request.
    pub(crate) innocent_until: Duration,
    /// Time at which the request is quarantined unless an upstream has survived it by then.
    quarantine_at: Option<Duration>,
    /// Last upstreams that went down, with the time of the last report of each.
    crashed: Vec<(UpstreamId, Duration)>,
    /// Runs whose crash report is confirmed to the reporter once all VMs have acknowledged.
    pub(crate) pending_reports: Vec<VmRun>,
    /// VMs with runs in progress that started without a grant.
    pub(crate) running_vms: BTreeSet<VmId>,
    /// Time from which runs that started without a grant no longer block a new grant.
    pub(crate) running_deadline: Duration,
    /// Time of the last announcement to the VMs.
    pub(crate) announced_at: Duration,
    /// VMs that have not acknowledged the announcement of the stage.
    pub(crate) unacked_vms: BTreeSet<VmId>,
    /// Rule by which the last crash counted.
    rule: CrashRule,
    /// Time at which the entry is removed.
    pub(crate) expires_at: Duration,
}

/// The owner's permission for the only run of a suspect that may be in progress.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct RunGrant {
    /// Time at which a run without a report counts as a crash.
    pub(crate) expires: Duration,
    pub(crate) run: VmRun,
}

/// A run, identified across VMs.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) struct VmRun {
    pub(crate) run: RunId,
    pub(crate) vm: VmId,
}

/// Report that a run's upstream went down.
#[derive(Clone, Constructor, Debug)]
pub(crate) struct CrashReport {
    /// Whether other runs of the request are in progress on the reporting VM.
    pub(crate) is_running: bool,
    pub(crate) rule: CrashRule,
    pub(crate) run: VmRun,
    pub(crate) upstream: UpstreamId,
}

impl Suspect {
    /// Number of crashes that quarantines a request whose runs need no permit.
    const EVIDENCE_QUARANTINE_THRESHOLD: u32 = 3;
    /// Number of crashes that makes a request whose runs need no permit a suspect.
    const EVIDENCE_SUSPECT_THRESHOLD: u32 = 2;
    /// Largest number of crashed upstreams that are remembered by name.
    const MAX_CRASHED: usize = 8;
    /// Longest time for which runs are held back by a VM that does not hear what was decided.
    const MAX_HOLD: Duration = Duration::from_secs(2);
    /// Number of crashes that quarantines a request whose runs need permits.
    const PERMIT_QUARANTINE_THRESHOLD: u32 = 2;
    /// Reports about one upstream within this time count as one crash, except for a granted run,
    /// which started after the previous crash.
    const SAME_CRASH_WINDOW: Duration = Duration::from_secs(5);

    pub(crate) fn new(expires_at: Duration) -> Self {
        Self {
            announced_by: None,
            announcement: 0,
            counted_runs: BTreeSet::new(),
            crashes: 0,
            grant: None,
            handover_until: Duration::ZERO,
            ack_deadline: Duration::ZERO,
            stage: SuspectStage::Counted,
            held_until: Duration::ZERO,
            innocent_until: Duration::ZERO,
            quarantine_at: None,
            crashed: Vec::new(),
            pending_reports: Vec::new(),
            running_vms: BTreeSet::new(),
            running_deadline: Duration::ZERO,
            announced_at: Duration::ZERO,
            unacked_vms: BTreeSet::new(),
            rule: CrashRule::Evidence,
            expires_at,
        }
    }

    /// Gives the next announcement a new number above `first`.
    pub(crate) fn renumber(&mut self, first: u64) {
        self.announcement = self.announcement.max(first) + 1;
    }

    /// Counts a crash report, unless this run's report was counted before.
    pub(crate) fn record_crash(
        &mut self,
        now: Duration,
        crash: &CrashReport,
        explained: &BTreeSet<UpstreamId>,
    ) {
        if now < self.innocent_until || !self.counted_runs.insert(crash.run.clone()) {
            return;
        }
        let was_granted = self.release_grant(&crash.run);
        let is_same = self.record_crashed_upstream(now, &crash.upstream);
        if was_granted || !is_same {
            self.crashes += 1;
        }
        self.rule = crash.rule;
        match crash.rule {
            CrashRule::Evidence => {
                if self.crashes >= Self::EVIDENCE_SUSPECT_THRESHOLD {
                    self.suspect();
                }
                self.hold_if_guilty(now, explained);
            }
            CrashRule::Permits => {
                self.suspect();
                self.check_permit_threshold(now);
            }
        }
    }

    /// Holds new runs back if the crashes that nothing else explains are enough for a quarantine by
    /// [`CrashRule::Evidence`]. Returns whether they are held back from now on.
    pub(crate) fn hold_if_guilty(
        &mut self,
        now: Duration,
        explained: &BTreeSet<UpstreamId>,
    ) -> bool {
        let is_held = self.quarantine_at.is_some() || self.is_quarantined();
        if is_held || !self.is_guilty(explained) {
            return false;
        }
        self.quarantine_at = Some(now + Quarantine::SURVIVAL_TIMEOUT);
        self.hold(now);
        true
    }

    /// Returns whether the crashes that nothing else explains are enough for a quarantine by [`CrashRule::Evidence`].
    fn is_guilty(&self, explained: &BTreeSet<UpstreamId>) -> bool {
        let crashed = self.crashed_upstreams();
        let excused = crashed.filter(|upstream| explained.contains(*upstream));
        let crashes = self.crashes.saturating_sub(excused.count() as u32);
        self.rule == CrashRule::Evidence && crashes >= Self::EVIDENCE_QUARANTINE_THRESHOLD
    }

    /// Returns whether the request is held or quarantined for crashes that this VM counted and that something else explains.
    pub(crate) fn is_excused(&self, explained: &BTreeSet<UpstreamId>) -> bool {
        let is_enough = self.crashes >= Self::EVIDENCE_QUARANTINE_THRESHOLD;
        let is_judged = self.quarantine_at.is_some() || self.is_quarantined();
        self.rule == CrashRule::Evidence && is_enough && is_judged && !self.is_guilty(explained)
    }

    /// Records the upstream of a crash report. Returns whether the report is of a crash that was
    /// reported before.
    fn record_crashed_upstream(&mut self, now: Duration, upstream: &UpstreamId) -> bool {
        if let Some((_, at)) = self.crashed.iter_mut().find(|(known, _)| known == upstream) {
            let last = std::mem::replace(at, now);
            return now.saturating_sub(last) < Self::SAME_CRASH_WINDOW;
        }
        if self.crashed.len() == Self::MAX_CRASHED {
            self.crashed.remove(0);
        }
        self.crashed.push((upstream.clone(), now));
        false
    }

    /// Names of the last upstreams that went down.
    pub(crate) fn crashed_upstreams(&self) -> impl Iterator<Item = &UpstreamId> {
        self.crashed.iter().map(|(upstream, _)| upstream)
    }

    /// Number of crashes counted by this VM.
    pub(crate) fn crashes(&self) -> u32 {
        self.crashes
    }

    /// Removes the grant if it belongs to `run`. Returns whether it did.
    pub(crate) fn release_grant(&mut self, run: &VmRun) -> bool {
        let was_granted = self.grant.as_ref().is_some_and(|grant| grant.run == *run);
        if was_granted {
            self.grant = None;
        }
        was_granted
    }

    /// Removes a grant whose run is overdue and counts it as a crash. Returns whether it did.
    pub(crate) fn expire_grant(&mut self, now: Duration) -> bool {
        let is_expired = self
            .grant
            .as_ref()
            .is_some_and(|grant| now >= grant.expires);
        if is_expired {
            self.grant = None;
            self.crashes += 1;
            self.check_permit_threshold(now);
        }
        is_expired
    }

    /// Puts the request under suspicion unless it is held or quarantined.
    pub(crate) fn suspect(&mut self) {
        if !self.stage.is_suspect() {
            self.stage = SuspectStage::Suspected;
        }
    }

    /// Holds new runs back unless the request is quarantined.
    pub(crate) fn hold(&mut self, now: Duration) {
        if self.stage != SuspectStage::Quarantined && self.stage != SuspectStage::Held {
            self.stage = SuspectStage::Held;
            self.held_until = now + Self::MAX_HOLD;
        }
    }

    /// Returns whether new runs are held back.
    pub(crate) fn is_held(&self, now: Duration) -> bool {
        self.stage == SuspectStage::Held && now < self.held_until
    }

    pub(crate) fn is_quarantined(&self) -> bool {
        self.stage == SuspectStage::Quarantined
    }

    /// Quarantines the request if that is due. Returns whether it did.
    pub(crate) fn quarantine_if_due(&mut self, now: Duration) -> bool {
        let is_due = self.quarantine_at.is_some_and(|at| now >= at);
        if is_due {
            self.quarantine_at = None;
            self.quarantine(now);
        }
        is_due
    }

    /// Whether the owner may grant the next run to a VM.
    pub(crate) fn can_grant(&self, now: Duration) -> bool {
        self.grant.is_none()
            && now >= self.handover_until
            && self.is_known_everywhere(now)
            && (self.running_vms.is_empty() || now >= self.running_deadline)
    }

    /// Whether every reachable VM has acknowledged the suspect.
    pub(crate) fn is_known_everywhere(&self, now: Duration) -> bool {
        self.unacked_vms.is_empty() || now >= self.ack_deadline
    }

    /// Whether an announcement is unacknowledged or a crash report unconfirmed, and has to be
    /// resent.
    pub(crate) fn has_unacked_messages(&self) -> bool {
        !self.unacked_vms.is_empty() || !self.pending_reports.is_empty()
    }

    pub(crate) fn set_running(&mut self, vm: &VmId, is_running: bool) {
        if is_running {
            self.running_vms.insert(vm.clone());
        } else {
            self.running_vms.remove(vm);
        }
    }

    fn check_permit_threshold(&mut self, now: Duration) {
        if self.crashes >= Self::PERMIT_QUARANTINE_THRESHOLD {
            self.quarantine(now);
        }
    }

    fn quarantine(&mut self, now: Duration) {
        self.stage = SuspectStage::Quarantined;
        self.expires_at = now + Quarantine::QUARANTINE_DURATION;
    }
}
