use super::*;

/// Bounded table of the [`Suspect`]s that a VM knows, with what the owner of a suspect decides.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct SuspectTable {
    live_vms: BTreeSet<VmId>,
    own_id: VmId,
    suspects: BTreeMap<Fingerprint, Suspect>,
}

impl SuspectTable {
    /// Longest run that an owner waits for when it takes over from another.
    const MAX_RUN_DURATION: Duration = Duration::from_secs(120);
    /// Suspects that are remembered; past it the one that would be forgotten first goes.
    const MAX_SUSPECTS: usize = 4_096;
    /// Time between two sendings of a message that is not confirmed.
    pub(crate) const RESEND_INTERVAL: Duration = Duration::from_millis(200);

    pub(crate) fn new(own_id: VmId) -> Self {
        Self {
            live_vms: BTreeSet::from([own_id.clone()]),
            own_id,
            suspects: BTreeMap::new(),
        }
    }

    /// Decides on a question for a run.
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
            // This VM lost its memory: a grant that it gave before may be in use.
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

    /// Confirms the crash reports of a suspect if all VMs that can be reached know of it.
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

    /// Counts a crash and tells all VMs. `runs_here`: this VM runs the request too.
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

    /// Ends a run that did not crash its upstream.
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

    /// A VM says that it knows of a suspect.
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

    /// The suspect, remembered at least until `until`.
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

    /// Tells a VM that has lost its memory of the suspects that this VM owns.
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

    /// Takes the list of live VMs. An owner that takes a suspect over waits for the previous
    /// owner's grant, which it does not know.
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

    /// Tells the VMs that have not confirmed, and confirms if all have.
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

    /// Time has passed. A grant whose holder never told its end counts as a crash: the holder
    /// may have been cut off or killed with it.
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
