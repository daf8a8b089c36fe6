use {super::*, derive_more::Constructor};

/// State that one VM keeps of a request that crashed upstreams. All VMs hold the quarantine state
/// and its expiry; only the owner uses the other fields.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct Suspect {
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
    pub(crate) is_quarantined: bool,
    /// Upstream and time of the last crash report.
    last_crash: Option<(UpstreamId, Duration)>,
    /// Runs whose crash report is confirmed to the reporter once all VMs have acknowledged.
    pub(crate) pending_reports: Vec<VmRun>,
    /// VMs with runs in progress that started without a grant.
    pub(crate) running_vms: BTreeSet<VmId>,
    /// Time from which runs that started without a grant no longer block a new grant.
    pub(crate) running_deadline: Duration,
    /// Time of the last announcement to the VMs.
    pub(crate) announced_at: Duration,
    /// VMs that have not acknowledged the suspect or quarantine announcement.
    pub(crate) unacked_vms: BTreeSet<VmId>,
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
    pub(crate) run: VmRun,
    pub(crate) upstream: UpstreamId,
}

impl Suspect {
    /// Number of crashes that quarantines a request.
    const QUARANTINE_THRESHOLD: u32 = 2;
    /// Reports about one upstream within this time count as one crash, except for a granted run,
    /// which started after the previous crash.
    const SAME_CRASH_WINDOW: Duration = Duration::from_secs(5);

    pub(crate) fn new(expires_at: Duration) -> Self {
        Self {
            counted_runs: BTreeSet::new(),
            crashes: 0,
            grant: None,
            handover_until: Duration::ZERO,
            ack_deadline: Duration::ZERO,
            is_quarantined: false,
            last_crash: None,
            pending_reports: Vec::new(),
            running_vms: BTreeSet::new(),
            running_deadline: Duration::ZERO,
            announced_at: Duration::ZERO,
            unacked_vms: BTreeSet::new(),
            expires_at,
        }
    }

    /// Counts a crash report, unless this run's report was counted before.
    pub(crate) fn record_crash(&mut self, now: Duration, run: &VmRun, upstream: &UpstreamId) {
        if !self.counted_runs.insert(run.clone()) {
            return;
        }
        let was_granted = self.release_grant(run);
        let is_same = self.last_crash.as_ref().is_some_and(|(last_crash, at)| {
            last_crash == upstream && now.saturating_sub(*at) < Self::SAME_CRASH_WINDOW
        });
        if was_granted || !is_same {
            self.add_crash(now);
        }
        self.last_crash = Some((upstream.clone(), now));
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
            self.add_crash(now);
        }
        is_expired
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

    fn add_crash(&mut self, now: Duration) {
        self.crashes += 1;
        if self.crashes >= Self::QUARANTINE_THRESHOLD {
            self.is_quarantined = true;
            self.expires_at = now + Quarantine::QUARANTINE_DURATION;
        }
    }
}
