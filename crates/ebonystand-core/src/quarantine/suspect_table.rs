use super::*;

/// Bounded table of the [`Suspect`]s that a VM knows, with the decisions of a suspect's owner.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct SuspectTable {
    live_vms: BTreeSet<VmId>,
    own_id: VmId,
    suspects: BTreeMap<Fingerprint, Suspect>,
}

impl SuspectTable {
    /// Longest run that an owner waits for. It limits the wait after a change of owner, for runs
    /// that started without a grant, and for a granted run.
    const MAX_RUN_DURATION: Duration = Duration::from_secs(120);
    /// Largest number of suspects in the table. Beyond it the entry that expires first is evicted.
    const MAX_SUSPECTS: usize = 4_096;
    /// Interval between two sends of an unconfirmed message.
    pub(crate) const RESEND_INTERVAL: Duration = Duration::from_millis(200);

    pub(crate) fn new(own_id: VmId) -> Self {
        Self {
            live_vms: BTreeSet::from([own_id.clone()]),
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
        }
        if suspect.is_quarantined {
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

    /// Counts a crash and announces it to all VMs. `runs_here` says whether this VM has runs of the
    /// request in progress.
    pub(crate) fn count_crash(
        &mut self,
        now: Duration,
        fingerprint: Fingerprint,
        crash: CrashReport,
        runs_here: bool,
        output: &mut QuarantineOutput,
    ) {
        let CrashReport {
            is_running,
            run,
            upstream,
        } = crash;
        let own_id = self.own_id.clone();
        let mut unacked_vms = self.live_vms.clone();
        unacked_vms.remove(&own_id);
        unacked_vms.remove(&run.vm);
        let suspect = self.track_until(now, fingerprint, now + Quarantine::SUSPECT_DURATION);
        suspect.set_running(&own_id, runs_here);
        suspect.set_running(&run.vm, is_running);
        suspect.record_crash(now, &run, &upstream);
        suspect.ack_deadline = now + Quarantine::CRASH_ACK_TIMEOUT;
        suspect.pending_reports.push(run);
        suspect.running_deadline = now + Self::MAX_RUN_DURATION;
        suspect.unacked_vms = unacked_vms;
        self.announce(now, fingerprint, output);
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

    /// Records that a VM has acknowledged a suspect.
    pub(crate) fn handle_acknowledgement(
        &mut self,
        now: Duration,
        fingerprint: Fingerprint,
        from: &VmId,
        is_running: bool,
        output: &mut QuarantineOutput,
    ) {
        if let Some(suspect) = self.suspects.get_mut(&fingerprint) {
            suspect.unacked_vms.remove(from);
            suspect.set_running(from, is_running);
        }
        self.confirm_reports(now, fingerprint, output);
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    pub(crate) fn owner(&self, fingerprint: Fingerprint) -> Option<&VmId> {
        RendezvousHash::new(fingerprint as u64).select_owner(&self.live_vms)
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

    /// Announces the suspects that this VM owns to a VM that has lost its memory.
    pub(crate) fn announce_to_restarted(
        &mut self,
        now: Duration,
        vm: &VmId,
        output: &mut QuarantineOutput,
    ) {
        let owned = self
            .suspects
            .keys()
            .copied()
            .filter(|fingerprint| self.owner(*fingerprint) == Some(&self.own_id))
            .collect::<Vec<_>>();
        for fingerprint in owned {
            if let Some(suspect) = self.suspects.get_mut(&fingerprint) {
                suspect.unacked_vms.insert(vm.clone());
                suspect.ack_deadline = now + Quarantine::CRASH_ACK_TIMEOUT;
            }
            self.announce(now, fingerprint, output);
        }
    }

    /// Sets the list of live VMs. A VM that becomes the owner of a suspect grants nothing until any
    /// run granted by the previous owner must have ended, since it does not know of that grant.
    pub(crate) fn set_live_vms(&mut self, now: Duration, mut live_vms: BTreeSet<VmId>) {
        live_vms.insert(self.own_id.clone());
        for (fingerprint, suspect) in &mut self.suspects {
            let rendezvous = RendezvousHash::new(*fingerprint as u64);
            let was_mine = rendezvous.select_owner(&self.live_vms) == Some(&self.own_id);
            if !was_mine && rendezvous.select_owner(&live_vms) == Some(&self.own_id) {
                suspect.handover_until = now + Self::MAX_RUN_DURATION;
            }
            suspect.running_vms.retain(|vm| live_vms.contains(vm));
            suspect.unacked_vms.retain(|vm| live_vms.contains(vm));
        }
        self.live_vms = live_vms;
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
        let message = match suspect.is_quarantined {
            true => QuarantineMessage::Quarantined {
                fingerprint,
                remaining,
            },
            false => QuarantineMessage::Suspected {
                fingerprint,
                remaining,
            },
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
        let mut due = Vec::new();
        for (fingerprint, suspect) in &mut self.suspects {
            if suspect.expire_grant(now) {
                suspect.unacked_vms = self.live_vms.clone();
                suspect.unacked_vms.remove(&self.own_id);
                due.push(*fingerprint);
            } else if suspect.has_unacked_messages()
                && now >= suspect.announced_at + Self::RESEND_INTERVAL
            {
                due.push(*fingerprint);
            }
        }
        for fingerprint in due {
            self.announce(now, fingerprint, output);
        }
    }

    fn evict_if_full(&mut self) {
        if self.suspects.len() < Self::MAX_SUSPECTS {
            return;
        }
        let first = self
            .suspects
            .iter()
            .min_by_key(|(_, suspect)| suspect.expires_at)
            .map(|(fingerprint, _)| *fingerprint);
        if let Some(first) = first {
            self.suspects.remove(&first);
        }
    }
}
