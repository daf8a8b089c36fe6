use super::*;

/// Bounded table of the [`Suspect`]s that a VM knows, with the decisions of a suspect's owner.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct SuspectTable {
    /// Ends that are no evidence against requests.
    explained: ExplainedEnds,
    /// Number below those of this process's announcements.
    first_announcement: u64,
    live_vms: BTreeSet<VmId>,
    own_id: VmId,
    /// Live VMs of the own region, this one included.
    region_vms: BTreeSet<VmId>,
    suspects: BTreeMap<Fingerprint, Suspect>,
}

impl SuspectTable {
    /// Longest run that an owner waits for. It limits the wait after a change of owner, for runs
    /// that started without a grant, and for a granted run.
    const MAX_RUN_DURATION: Duration = Duration::from_secs(120);
    /// Time for which crashes of a request that an upstream has survived do not count.
    const INNOCENT_DURATION: Duration = Duration::from_secs(10);
    /// Time for which a cleared request is announced as such.
    const CLEARED_DURATION: Duration = Duration::from_secs(60);
    /// Largest number of requests in the table. Beyond it, one that has crashed the fewest upstreams
    /// is evicted.
    const MAX_SUSPECTS: usize = 4_096;
    /// Interval between two sends of an unconfirmed message.
    pub(crate) const RESEND_INTERVAL: Duration = Duration::from_millis(200);

    /// Creates an empty table; `first_announcement` is above the numbers of the VM's former processes.
    pub(crate) fn new(own_id: VmId, first_announcement: u64) -> Self {
        Self {
            explained: ExplainedEnds::default(),
            first_announcement,
            live_vms: BTreeSet::from([own_id.clone()]),
            region_vms: BTreeSet::from([own_id.clone()]),
            own_id,
            suspects: BTreeMap::new(),
        }
    }

    /// Decides whether a VM may run a suspect now.
    pub(crate) fn answer_permit_request(
        &mut self,
        now: Duration,
        fingerprint: Fingerprint,
        run: VmRun,
        limit: Duration,
    ) -> RunPermit {
        let is_mine = self.owner(fingerprint) == Some(&self.own_id);
        let was_tracked = self.get(now, fingerprint).is_some();
        let suspect = self.track_until(now, fingerprint, now + Quarantine::SUSPECT_DURATION);
        if !was_tracked {
            // This VM has lost its memory, or evicted the suspect: a run that it granted before may
            // be in progress.
            suspect.handover_until = now + Self::MAX_RUN_DURATION;
            suspect.suspect();
        }
        if suspect.is_quarantined() {
            return RunPermit::Quarantined {
                remaining: suspect.expires_at.saturating_sub(now),
            };
        }
        let is_repeated = suspect.grant.as_ref().is_some_and(|grant| grant.run == run);
        let may_run = is_repeated || (is_mine && suspect.can_grant(now));
        if !may_run {
            return RunPermit::Wait {
                retry_after: Quarantine::CRASH_ACK_TIMEOUT,
            };
        }
        suspect.grant = Some(RunGrant {
            expires: now + Quarantine::START_TIMEOUT + limit.min(Self::MAX_RUN_DURATION),
            run,
        });
        RunPermit::Granted
    }

    /// Confirms the crash reports of a suspect to their reporters once every reachable VM has
    /// acknowledged it.
    pub(crate) fn confirm_reports(
        &mut self,
        now: Duration,
        fingerprint: Fingerprint,
        output: &mut QuarantineOutput,
    ) {
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else {
            return;
        };
        if !suspect.is_known_everywhere(now) {
            return;
        }
        for report in std::mem::take(&mut suspect.pending_reports) {
            output.send(&report.vm, QuarantineMessage::Recorded { run: report.run });
        }
    }

    /// Counts a crash, and announces it to all VMs if it changes what they must do. `runs_here` says
    /// whether this VM has runs of the request in progress.
    pub(crate) fn count_crash(
        &mut self,
        now: Duration,
        fingerprint: Fingerprint,
        crash: CrashReport,
        runs_here: bool,
        output: &mut QuarantineOutput,
    ) {
        let own_id = self.own_id.clone();
        let mut others = self.live_vms.clone();
        others.remove(&own_id);
        let explained = std::mem::take(&mut self.explained);
        let suspect = self.track_until(now, fingerprint, now + Quarantine::SUSPECT_DURATION);
        let stage_before = suspect.stage;
        suspect.set_running(&own_id, runs_here);
        suspect.set_running(&crash.run.vm, crash.is_running);
        suspect.record_crash(now, &crash, explained.upstreams_for(fingerprint));
        suspect.running_deadline = now + Self::MAX_RUN_DURATION;
        let is_announced = match crash.rule {
            CrashRule::Evidence => suspect.stage != stage_before,
            CrashRule::Permits => {
                others.remove(&crash.run.vm);
                true
            }
        };
        suspect.pending_reports.push(crash.run);
        if is_announced {
            suspect.ack_deadline = now + Quarantine::CRASH_ACK_TIMEOUT;
            suspect.unacked_vms = others;
        }
        self.explained = explained;
        if is_announced {
            self.announce_anew(now, fingerprint, output);
        } else {
            self.confirm_reports(now, fingerprint, output);
        }
    }

    /// Sets the ends that are no evidence against requests. Requests that are held or quarantined for such ends are cleared.
    pub(crate) fn set_explained(
        &mut self,
        now: Duration,
        explained: ExplainedEnds,
        output: &mut QuarantineOutput,
    ) {
        if explained == self.explained {
            return;
        }
        let mut held = Vec::new();
        let mut excused = Vec::new();
        for (fingerprint, suspect) in &mut self.suspects {
            let upstreams = explained.upstreams_for(*fingerprint);
            if suspect.is_excused(upstreams) {
                excused.push(*fingerprint);
            } else if suspect.hold_if_guilty(now, upstreams) {
                suspect.unacked_vms = self.live_vms.clone();
                suspect.unacked_vms.remove(&self.own_id);
                held.push(*fingerprint);
            }
        }
        self.explained = explained;
        for fingerprint in held {
            self.announce_anew(now, fingerprint, output);
        }
        for fingerprint in excused {
            self.clear(now, fingerprint, output);
        }
    }

    /// Forgets a request that an upstream has survived. Its crashes do not count for a while.
    pub(crate) fn clear_survived(
        &mut self,
        now: Duration,
        fingerprint: Fingerprint,
        output: &mut QuarantineOutput,
    ) {
        self.clear(now, fingerprint, output);
        let until = now + Self::INNOCENT_DURATION;
        self.track_until(now, fingerprint, until).innocent_until = until;
    }

    /// Forgets a request, and has the other VMs forget it if they know of it.
    pub(crate) fn clear(
        &mut self,
        now: Duration,
        fingerprint: Fingerprint,
        output: &mut QuarantineOutput,
    ) {
        let known = self.suspects.get(&fingerprint);
        let Some(stage) = known.map(|suspect| suspect.stage) else {
            return;
        };
        match stage {
            SuspectStage::Cleared => {}
            SuspectStage::Counted => {
                self.suspects.remove(&fingerprint);
            }
            SuspectStage::Held | SuspectStage::Quarantined | SuspectStage::Suspected => {
                let mut cleared = Suspect::new(now + Self::CLEARED_DURATION);
                cleared.stage = SuspectStage::Cleared;
                cleared.unacked_vms = self.live_vms.clone();
                cleared.unacked_vms.remove(&self.own_id);
                self.suspects.insert(fingerprint, cleared);
                self.announce_anew(now, fingerprint, output);
            }
        }
    }

    /// Records what another VM announces about a request.
    pub(crate) fn record_announced(
        &mut self,
        now: Duration,
        from: &VmId,
        fingerprint: Fingerprint,
        stage: SuspectStage,
        remaining: Duration,
        output: &mut QuarantineOutput,
    ) {
        match stage {
            SuspectStage::Counted => {}
            SuspectStage::Cleared => {
                let known = self.suspects.get(&fingerprint);
                // Other VMs may still get what this one has announced.
                if known.is_some_and(|suspect| suspect.crashes() > 0) {
                    self.clear(now, fingerprint, output);
                } else if known.is_some_and(|suspect| suspect.stage.is_suspect()) {
                    self.suspects.remove(&fingerprint);
                }
            }
            SuspectStage::Held => self
                .track_until(now, fingerprint, now + remaining)
                .hold(now),
            SuspectStage::Quarantined => {
                self.track_until(now, fingerprint, now + remaining).stage = stage;
            }
            SuspectStage::Suspected => {
                self.track_until(now, fingerprint, now + remaining)
                    .suspect();
            }
        }
        if let Some(suspect) = self.suspects.get_mut(&fingerprint) {
            suspect.announced_by = Some(from.clone());
        }
    }

    /// Records the end of a run that did not crash its upstream.
    pub(crate) fn end_run(&mut self, fingerprint: Fingerprint, run: &VmRun, is_running: bool) {
        if let Some(suspect) = self.suspects.get_mut(&fingerprint) {
            suspect.release_grant(run);
            suspect.set_running(&run.vm, is_running);
        }
    }

    pub(crate) fn get(&self, now: Duration, fingerprint: Fingerprint) -> Option<&Suspect> {
        self.suspects
            .get(&fingerprint)
            .filter(|suspect| suspect.expires_at > now)
    }

    /// Records that a VM has acknowledged the announcement of a stage. Of an older announcement, which a former
    /// process of the VM may have got, it counts only that runs are in progress.
    pub(crate) fn handle_acknowledgement(
        &mut self,
        fingerprint: Fingerprint,
        from: &VmId,
        (announcement, stage): (u64, SuspectStage),
        is_running: bool,
    ) {
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else {
            return;
        };
        let is_current = announcement == suspect.announcement && stage == suspect.stage;
        if is_current {
            suspect.unacked_vms.remove(from);
        }
        if is_current || is_running {
            suspect.set_running(from, is_running);
        }
    }

    pub(crate) fn is_live(&self, vm: &VmId) -> bool {
        self.live_vms.contains(vm)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (Fingerprint, &Suspect)> {
        self.suspects
            .iter()
            .map(|(fingerprint, suspect)| (*fingerprint, suspect))
    }

    pub(crate) fn owner(&self, fingerprint: Fingerprint) -> Option<&VmId> {
        RendezvousHash::new(fingerprint as u64).select_owner(&self.live_vms)
    }

    /// Returns the VMs that count the crashes of a request whose runs need no permit: one of all
    /// VMs, and one of the own region, which still counts when the other is out of reach or has
    /// just lost its memory.
    pub(crate) fn counters(&self, fingerprint: Fingerprint) -> BTreeSet<&VmId> {
        let hash = RendezvousHash::new(fingerprint as u64);
        let of_all = hash.select_owner(&self.live_vms);
        let of_region = self.region_vms.iter().filter(|vm| Some(*vm) != of_all);
        let of_region = hash.select_owner(of_region);
        of_all.into_iter().chain(of_region).collect()
    }

    /// Returns the suspect's entry, inserted if missing, with an expiry not before `until`.
    pub(crate) fn track_until(
        &mut self,
        now: Duration,
        fingerprint: Fingerprint,
        until: Duration,
    ) -> &mut Suspect {
        if self.get(now, fingerprint).is_none() {
            self.suspects.remove(&fingerprint);
            self.evict_if_full();
        }
        let suspect = self
            .suspects
            .entry(fingerprint)
            .or_insert_with(|| Suspect::new(until));
        suspect.expires_at = suspect.expires_at.max(until);
        suspect
    }

    /// Announces the suspects that this VM counts to a VM that has lost its memory.
    pub(crate) fn announce_to_restarted(
        &mut self,
        now: Duration,
        vm: &VmId,
        output: &mut QuarantineOutput,
    ) {
        for fingerprint in self.suspects_counted_here() {
            if let Some(suspect) = self.suspects.get_mut(&fingerprint) {
                suspect.unacked_vms.insert(vm.clone());
                suspect.ack_deadline = now + Quarantine::CRASH_ACK_TIMEOUT;
            }
            self.announce_anew(now, fingerprint, output);
        }
    }

    /// Sets the list of live VMs. A VM that becomes the owner of a suspect grants nothing until any
    /// run granted by the previous owner must have ended, since it does not know of that grant. VMs
    /// that were not live before are told of the suspects.
    pub(crate) fn set_live_vms(&mut self, now: Duration, mut live_vms: BTreeSet<VmId>) {
        live_vms.insert(self.own_id.clone());
        let stayed = &self.live_vms & &live_vms;
        let joined = &live_vms - &self.live_vms;
        let before = std::mem::replace(&mut self.live_vms, stayed);
        let counted = self.suspects_counted_here();
        for (fingerprint, suspect) in &mut self.suspects {
            let rendezvous = RendezvousHash::new(*fingerprint as u64);
            let was_mine = rendezvous.select_owner(&before) == Some(&self.own_id);
            if !was_mine && rendezvous.select_owner(&live_vms) == Some(&self.own_id) {
                suspect.handover_until = now + Self::MAX_RUN_DURATION;
            }
            suspect.running_vms.retain(|vm| live_vms.contains(vm));
            suspect.unacked_vms.retain(|vm| live_vms.contains(vm));
            if counted.contains(fingerprint) && !joined.is_empty() {
                suspect.unacked_vms.extend(joined.iter().cloned());
                suspect.renumber(self.first_announcement);
            }
        }
        self.live_vms = live_vms;
    }

    /// Sets the live VMs of the own region.
    pub(crate) fn set_region_vms(&mut self, mut region_vms: BTreeSet<VmId>) {
        region_vms.insert(self.own_id.clone());
        self.region_vms = region_vms;
    }

    /// Announces a suspect under a new number.
    fn announce_anew(
        &mut self,
        now: Duration,
        fingerprint: Fingerprint,
        output: &mut QuarantineOutput,
    ) {
        if let Some(suspect) = self.suspects.get_mut(&fingerprint) {
            suspect.renumber(self.first_announcement);
        }
        self.announce(now, fingerprint, output);
    }

    /// Announces a suspect to the VMs that have not acknowledged it, and confirms its crash reports
    /// if all have.
    pub(crate) fn announce(
        &mut self,
        now: Duration,
        fingerprint: Fingerprint,
        output: &mut QuarantineOutput,
    ) {
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else {
            return;
        };
        suspect.announced_at = now;
        let remaining = suspect.expires_at.saturating_sub(now);
        let message = QuarantineMessage::Announced {
            announcement: suspect.announcement,
            fingerprint,
            remaining,
            stage: suspect.stage,
        };
        for vm in &suspect.unacked_vms {
            output.send(vm, message.clone());
        }
        self.confirm_reports(now, fingerprint, output);
    }

    /// Expires suspects and grants, and resends announcements that are due. A grant whose run was
    /// never reported as ended counts as a crash: its VM may have been killed or partitioned
    /// together with the run.
    pub(crate) fn tick(&mut self, now: Duration, output: &mut QuarantineOutput) {
        self.suspects.retain(|_, suspect| suspect.expires_at > now);
        let mut changed = Vec::new();
        let mut due = Vec::new();
        for (fingerprint, suspect) in &mut self.suspects {
            let has_expired = suspect.expire_grant(now);
            if suspect.quarantine_if_due(now) || has_expired {
                suspect.unacked_vms = self.live_vms.clone();
                suspect.unacked_vms.remove(&self.own_id);
                changed.push(*fingerprint);
            } else if suspect.has_unacked_messages()
                && now >= suspect.announced_at + Self::RESEND_INTERVAL
            {
                due.push(*fingerprint);
            }
        }
        for fingerprint in changed {
            self.announce_anew(now, fingerprint, output);
        }
        for fingerprint in due {
            self.announce(now, fingerprint, output);
        }
    }

    /// Returns the suspects whose crashes this VM counts.
    fn suspects_counted_here(&self) -> BTreeSet<Fingerprint> {
        let suspects = self.suspects.iter();
        let suspects = suspects.filter(|(_, suspect)| suspect.stage.is_suspect());
        let counted = suspects.map(|(fingerprint, _)| *fingerprint);
        counted
            .filter(|fingerprint| self.counters(*fingerprint).contains(&self.own_id))
            .collect()
    }

    fn evict_if_full(&mut self) {
        if self.suspects.len() < Self::MAX_SUSPECTS {
            return;
        }
        let harmless = self
            .suspects
            .iter()
            .min_by_key(|(_, suspect)| {
                let is_suspect = suspect.stage.is_suspect();
                (suspect.is_quarantined(), is_suspect, suspect.expires_at)
            })
            .map(|(fingerprint, _)| *fingerprint);
        if let Some(harmless) = harmless {
            self.suspects.remove(&harmless);
        }
    }
}
