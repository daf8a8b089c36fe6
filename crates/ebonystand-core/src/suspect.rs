use {super::*, derive_more::Constructor};

/// What one VM knows of a request that crashed upstreams. All VMs hold the state; only the owner
/// uses the rest.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct Suspect {
    /// Crash reports that were counted, so that a repeated one is not.
    counted_runs: BTreeSet<VmRun>,
    crashes: u32,
    pub(crate) grant: Option<RunGrant>,
    /// No grant before this time: a previous owner's grant may be in use.
    pub(crate) handover_until: Duration,
    /// No grant before all VMs know or this time; then those missing count as unreachable.
    pub(crate) ack_deadline: Duration,
    pub(crate) is_quarantined: bool,
    last_crash: Option<(UpstreamId, Duration)>,
    /// Reports to be confirmed when all VMs know.
    pub(crate) pending_reports: Vec<VmRun>,
    /// VMs that run it without a grant.
    pub(crate) running_vms: BTreeSet<VmId>,
    /// No grant before those runs have ended or this time.
    pub(crate) running_deadline: Duration,
    /// When the VMs were last told.
    pub(crate) announced_at: Duration,
    /// VMs that have not said that they know.
    pub(crate) unacked_vms: BTreeSet<VmId>,
    pub(crate) expires_at: Duration,
}

/// The owner's one grant of a suspect.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct RunGrant {
    pub(crate) expires: Duration,
    pub(crate) run: VmRun,
}

/// A run on some VM.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) struct VmRun {
    pub(crate) run: RunId,
    pub(crate) vm: VmId,
}

/// Report that a run's upstream went down.
#[derive(Clone, Constructor, Debug)]
pub(crate) struct CrashReport {
    /// Other runs of the request are under way on the reporter.
    pub(crate) is_running: bool,
    pub(crate) run: VmRun,
    pub(crate) upstream: UpstreamId,
}

impl Suspect {
    /// Crashes that quarantine a request.
    const QUARANTINE_THRESHOLD: u32 = 2;
    /// Reports about one upstream within this time are about one crash, unless the run was
    /// granted: that one started after the crash before it.
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

    /// Counts a crash report once.
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

    /// Ends the grant if it is that run's.
    pub(crate) fn release_grant(&mut self, run: &VmRun) -> bool {
        let was_granted = self.grant.as_ref().is_some_and(|grant| grant.run == *run);
        if was_granted {
            self.grant = None;
        }
        was_granted
    }

    /// Ends a grant that has expired, as a crash.
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

    /// Whether a VM may be granted the next run.
    pub(crate) fn can_grant(&self, now: Duration) -> bool {
        self.grant.is_none()
            && now >= self.handover_until
            && self.is_known_everywhere(now)
            && (self.running_vms.is_empty() || now >= self.running_deadline)
    }

    /// Whether all VMs that can be reached know of it.
    pub(crate) fn is_known_everywhere(&self, now: Duration) -> bool {
        self.unacked_vms.is_empty() || now >= self.ack_deadline
    }

    /// Whether there is something to send again.
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
