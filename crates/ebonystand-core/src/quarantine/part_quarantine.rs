use super::*;

/// Finds the part of prompts under which upstreams go down, and keeps prompts with it from the others.
///
/// No two of the requests need be alike, and all that was running on an upstream is lost with it. What tells the parts
/// apart is that upstreams begin answers on the sound ones. The VMs remember on which parts that happened, and report the
/// other parts of lost runs to two counters of the service, which make them suspects on all VMs: prompts with a suspect are
/// held back until some VM knows it as sound, and the owner permits one of them at a time as a trial. The part is
/// quarantined once three upstreams went down, one of them under a trial or all of them among few others.
///
/// Messages may be lost, late or duplicated. Without ends of upstreams, the cost is a table entry for each part on which
/// an answer begins. Suspicions after a single end are announced as far as a budget allows, which depends on the number
/// of VMs; beyond it, parts are suspects on the VMs alone that lost runs of them.
#[derive(Clone, Debug)]
pub struct PartQuarantine {
    /// Requests that are quarantined by themselves.
    crashing_requests: Rc<BTreeSet<Fingerprint>>,
    /// Suspects announced after a single end, since the start of the window.
    early_suspects: (Duration, usize),
    live_vms: BTreeSet<VmId>,
    /// Number of the next announcement. The first one differs between the processes of a VM.
    next_announcement: u16,
    own_id: VmId,
    /// Requests of this VM that the owner has permitted, with the time until which they may begin.
    permitted: BTreeMap<u64, Duration>,
    /// Reports that a counter has not confirmed.
    pending_reports: BTreeMap<u64, PendingPartReport>,
    next_report: u64,
    /// Live VMs of the own region, this one included.
    region_vms: BTreeSet<VmId>,
    services: BTreeMap<ServiceId, ServiceParts>,
    survivals: PartSurvivals,
}

/// Report that a counter has not confirmed.
#[derive(Clone, Debug)]
struct PendingPartReport {
    message: PartMessage,
    resend_until: Duration,
    sent_at: Duration,
    to: VmId,
}

impl PartQuarantine {
    /// Time for which VMs are told that a part is cleared.
    pub(crate) const CLEARED_DURATION: Duration = Duration::from_secs(60);
    /// Bytes of announcements after single ends that a counter may send in [`Self::EARLY_WINDOW`].
    const EARLY_BYTES: usize = 100_000;
    /// Time over which [`Self::EARLY_BYTES`] are spread.
    const EARLY_WINDOW: Duration = Duration::from_secs(10);
    /// Bytes that the announcement of a part takes, its acknowledgement included.
    const ANNOUNCED_PART_BYTES: usize = 30;
    /// Time for which a VM suspects the parts of its lost runs without the counters' word.
    const LOCAL_SUSPECT_DURATION: Duration = Duration::from_secs(10);
    /// Largest number of reports that await confirmation. Beyond it, lost runs go unreported.
    const MAX_PENDING_REPORTS: usize = 1_024;
    /// Largest number of runs in a report.
    const MAX_REPORTED_RUNS: usize = 64;
    /// Largest number of requests whose permission is remembered.
    const MAX_PERMITTED: usize = 1_024;
    /// Longest time for which prompts with a quarantined part are refused before a trial.
    pub const QUARANTINE_DURATION: Duration = Duration::from_secs(3_600);
    /// Interval between two sends of an unconfirmed message.
    pub(crate) const RESEND_INTERVAL: Duration = Duration::from_millis(200);
    /// Time for which a report is repeated.
    const REPORT_DURATION: Duration = Duration::from_secs(10);
    /// Time for which ends of upstreams under a part count, and for which a suspect needs a trial.
    pub const SUSPECT_DURATION: Duration = Duration::from_secs(600);
    /// Time for which a permitted request counts as a trial.
    const TRIAL_DURATION: Duration = Duration::from_secs(5);

    /// State of a VM that has just started. Reports are numbered above `first_report`.
    #[must_use]
    pub fn new(own_id: VmId, first_report: u64) -> Self {
        Self {
            crashing_requests: Rc::default(),
            early_suspects: (Duration::ZERO, 0),
            live_vms: BTreeSet::from([own_id.clone()]),
            next_announcement: first_report as u16,
            next_report: first_report,
            permitted: BTreeMap::new(),
            pending_reports: BTreeMap::new(),
            region_vms: BTreeSet::from([own_id.clone()]),
            own_id,
            services: BTreeMap::new(),
            survivals: PartSurvivals::default(),
        }
    }

    /// Returns whether a prompt with these shared parts may be sent to an upstream of the service.
    #[must_use]
    pub fn gate(
        &self,
        now: Duration,
        service: &str,
        parts: &[PromptPartId],
        request: u64,
    ) -> PartGate {
        let Some(known) = self.services.get(service) else {
            return PartGate::Open;
        };
        let suspects = known.suspects(now, parts);
        let quarantined = suspects.iter().find(|part| known.is_quarantined(now, part));
        if let Some(part) = quarantined {
            let expires_at = known.cases.get(part).map(|case| case.expires_at);
            let remaining = expires_at.unwrap_or_default().saturating_sub(now);
            let message = format!(
                "upstreams went down while they began to answer prompts with part {part:x}"
            );
            let refusal = Refusal::not_run(RefusalCode::Quarantined, message);
            return PartGate::Refused {
                part: *part,
                refusal: refusal.with_retry_after(remaining),
            };
        }
        match suspects.is_empty() || self.is_trial(now, request) {
            true => PartGate::Open,
            false => PartGate::Held,
        }
    }

    /// Returns the key that identifies a request on all VMs that it passes.
    #[must_use]
    pub fn request_key(request: &str) -> u64 {
        xxh3_64(request.as_bytes())
    }

    /// Returns whether upstreams of the service went down lately as far as this VM knows, so that parts matter.
    #[must_use]
    pub fn is_watching(&self, service: &str) -> bool {
        self.services.contains_key(service)
    }

    /// Returns the number of suspects, and of quarantined parts.
    #[must_use]
    pub fn count(&self, now: Duration) -> (usize, usize) {
        let stages = self.services.values().flat_map(|known| {
            let cases = known.cases.values().filter(|case| !case.has_expired(now));
            cases.map(|case| case.stage(now))
        });
        stages.fold((0, 0), |(suspected, quarantined), stage| match stage {
            PartStage::Suspected => (suspected + 1, quarantined),
            PartStage::Quarantined => (suspected, quarantined + 1),
            PartStage::Cleared | PartStage::Counted => (suspected, quarantined),
        })
    }

    /// Asks the owner for the permission to run a request that is held, unless another request of this VM with the same
    /// suspects has just asked.
    pub fn request_trial(
        &mut self,
        now: Duration,
        service: &ServiceId,
        parts: &[PromptPartId],
        request: u64,
        fingerprint: Fingerprint,
    ) -> PartOutput {
        let mut output = PartOutput::default();
        let Some(known) = self.services.get_mut(service) else {
            return output;
        };
        let parts = known.suspects(now, parts);
        if parts.is_empty() || !known.begin_request(now, &parts, request) {
            return output;
        }
        let message = PartMessage::RequestTrial {
            fingerprint,
            parts,
            request,
            service: service.clone(),
        };
        if let Some(owner) = self.owner(service) {
            output.send(&owner, message);
        }
        self.handle_own_messages(now, output)
    }

    /// Sets the requests that are quarantined by themselves. Ends at which they were lost are no evidence against the parts of
    /// their prompts.
    pub fn set_crashing_requests(
        &mut self,
        now: Duration,
        requests: BTreeSet<Fingerprint>,
    ) -> PartOutput {
        let mut output = PartOutput::default();
        if requests == *self.crashing_requests {
            return output;
        }
        self.crashing_requests = Rc::new(requests);
        let services = self.services.keys().cloned().collect::<Vec<_>>();
        for service in services {
            let crashing_requests = Rc::clone(&self.crashing_requests);
            let known = self.track_service(&service);
            for part in known.set_crashing_requests(now, &crashing_requests) {
                self.announce(now, &service, part, &mut output);
            }
            self.flush(now, &service, &mut output);
        }
        self.handle_own_messages(now, output)
    }

    /// Returns the ends that parts explain which are quarantined, or were until a trial was due.
    #[must_use]
    pub fn explained_ends(&self, now: Duration) -> ExplainedEnds {
        let mut explained = ExplainedEnds::default();
        let cases = self
            .services
            .values()
            .flat_map(|known| known.cases.values());
        for case in cases.filter(|case| case.is_known_cause() && !case.has_expired(now)) {
            explained.requests.extend(&case.lost_requests);
            explained.upstreams.extend(case.explained.iter().cloned());
        }
        explained
    }

    /// Returns what is known of a service, inserted if missing.
    fn track_service(&mut self, service: &ServiceId) -> &mut ServiceParts {
        let crashing_requests = &self.crashing_requests;
        let known = self.services.entry(service.clone());
        known.or_insert_with(|| ServiceParts::new(Rc::clone(crashing_requests)))
    }

    /// Reports that a request which has ended upstreams comes again and is refused for a part. If the part was quarantined
    /// for its ends, it may be the request alone that causes them.
    pub fn report_repeated(
        &mut self,
        now: Duration,
        service: &ServiceId,
        part: PromptPartId,
    ) -> PartOutput {
        let mut output = PartOutput::default();
        let recipients = self.counters(service);
        let known = self.services.get_mut(service);
        let Some(case) = known.and_then(|known| known.cases.get_mut(&part)) else {
            return output;
        };
        if case.is_repeat_report_due(now) {
            for to in &recipients {
                let service = service.clone();
                output.send(to, PartMessage::Repeated { part, service });
            }
        }
        self.handle_own_messages(now, output)
    }

    /// Tells the owner that a permitted request was not run.
    pub fn return_trial(&mut self, now: Duration, service: &ServiceId, request: u64) -> PartOutput {
        let mut output = PartOutput::default();
        if self.permitted.remove(&request).is_none() {
            return output;
        }
        let service = service.clone();
        if let Some(owner) = self.owner(&service) {
            output.send(&owner, PartMessage::Returned { request, service });
        }
        self.handle_own_messages(now, output)
    }

    /// Reports runs that were lost with their upstream before they had begun to answer. Parts on which this VM has seen
    /// answers begin lately are left out, and so are all but the quarantined ones of a prompt that has one.
    pub fn report_loss(
        &mut self,
        now: Duration,
        service: &ServiceId,
        upstream: &UpstreamId,
        runs: Vec<LostRun>,
    ) -> PartOutput {
        let mut output = PartOutput::default();
        let mut reported = Vec::new();
        for mut run in runs {
            run.parts = self.unsound_parts(now, service, &run.parts);
            if !run.parts.is_empty() && !reported.contains(&run) {
                reported.push(run);
            }
        }
        if reported.is_empty() {
            return output;
        }
        // Trials tell most.
        reported.sort_by_key(|run| !run.is_trial);
        reported.truncate(Self::MAX_REPORTED_RUNS);
        let known = self.track_service(service);
        for part in reported.iter().flat_map(|run| &run.parts) {
            let case = known.track(now, *part);
            case.suspect(now, Self::LOCAL_SUSPECT_DURATION);
        }
        for to in self.counters(service) {
            if self.pending_reports.len() >= Self::MAX_PENDING_REPORTS {
                break;
            }
            self.next_report += 1;
            let message = PartMessage::Lost {
                others_survive: self.survivals.has_any(now, service),
                report: self.next_report,
                runs: reported.clone(),
                service: service.clone(),
                upstream: upstream.clone(),
            };
            output.send(&to, message.clone());
            let report = PendingPartReport {
                message,
                resend_until: now + Self::REPORT_DURATION,
                sent_at: now,
                to,
            };
            self.pending_reports.insert(self.next_report, report);
        }
        self.handle_own_messages(now, output)
    }

    /// Returns the parts of a lost run that may have ended its upstream.
    fn unsound_parts(
        &self,
        now: Duration,
        service: &str,
        parts: &[PromptPartId],
    ) -> Vec<PromptPartId> {
        let known = self.services.get(service);
        let is_quarantined =
            |part: &&PromptPartId| known.is_some_and(|known| known.is_quarantined(now, part));
        let quarantined = parts.iter().filter(is_quarantined).copied();
        let quarantined = quarantined.collect::<Vec<_>>();
        if !quarantined.is_empty() {
            return quarantined;
        }
        let mut unsound = Vec::new();
        for part in parts {
            if !self.survivals.contains(now, service, *part) && !unsound.contains(part) {
                unsound.push(*part);
            }
        }
        unsound
    }

    /// Records that an upstream has begun an answer on a prompt with these shared parts, and reports those under
    /// suspicion.
    pub fn record_survival(
        &mut self,
        now: Duration,
        service: &ServiceId,
        parts: &[PromptPartId],
    ) -> PartOutput {
        self.survivals.record(now, service, parts);
        let Some(known) = self.services.get(service) else {
            return PartOutput::default();
        };
        let suspects = known.suspects(now, parts);

        let output = self.report_survivals(now, service, suspects.clone());
        let known = self.services.get_mut(service);
        let cases = known.into_iter().flat_map(|known| known.cases.iter_mut());
        for (_, case) in cases.filter(|(part, case)| suspects.contains(part) && !case.is_announced)
        {
            case.clear(now);
        }
        output
    }

    fn report_survivals(
        &mut self,
        now: Duration,
        service: &ServiceId,
        mut parts: Vec<PromptPartId>,
    ) -> PartOutput {
        let mut output = PartOutput::default();
        let mut recipients = self.counters(service);
        let Some(known) = self.services.get_mut(service) else {
            return output;
        };
        parts.retain(|part| {
            let case = known.cases.get_mut(part);
            case.is_some_and(|case| {
                let is_due = case
                    .survival_reported_at
                    .is_none_or(|at| now >= at + Self::RESEND_INTERVAL);
                if is_due {
                    case.survival_reported_at = Some(now);
                    recipients.extend(case.announced_by.clone());
                }
                is_due
            })
        });
        if parts.is_empty() {
            return output;
        }
        for to in &recipients {
            let message = PartMessage::Survived {
                parts: parts.clone(),
                service: service.clone(),
            };
            output.send(to, message);
        }
        self.handle_own_messages(now, output)
    }

    /// Clears a part by order of an operator, on all VMs. Returns `None` if this VM does not know it.
    pub fn clear(&mut self, now: Duration, part: PromptPartId) -> Option<PartOutput> {
        let knows = |known: &ServiceParts| {
            let stage = known.stage(now, part);
            stage.is_some_and(PartStage::is_suspect)
        };
        let services = self.services.iter().filter(|(_, known)| knows(known));
        let services = services.map(|(service, _)| service.clone());
        let services = services.collect::<Vec<_>>();
        if services.is_empty() {
            return None;
        }
        let mut output = PartOutput::default();
        for service in services {
            self.clear_part(now, &service, part, &mut output);
            self.flush(now, &service, &mut output);
        }
        Some(output)
    }

    fn clear_part(
        &mut self,
        now: Duration,
        service: &ServiceId,
        part: PromptPartId,
        output: &mut PartOutput,
    ) {
        let known = self.services.get_mut(service);
        let case = known.and_then(|known| known.cases.get_mut(&part));
        if case.is_some_and(|case| case.clear(now)) {
            self.announce(now, service, part, output);
        }
    }

    /// Returns the parts that this VM knows to be suspects or quarantined.
    pub fn statuses(&self, now: Duration) -> Vec<PartStatus> {
        let cases = self.services.iter().flat_map(|(service, known)| {
            known
                .cases
                .iter()
                .map(move |(part, case)| (service, known, *part, case))
        });
        let suspects =
            cases.filter(|(_, _, _, case)| case.stage(now).is_suspect() && !case.has_expired(now));
        suspects
            .map(|(service, known, part, case)| Self::status(now, service, known, part, case))
            .collect()
    }

    fn status(
        now: Duration,
        service: &ServiceId,
        known: &ServiceParts,
        part: PromptPartId,
        case: &PartCase,
    ) -> PartStatus {
        PartStatus {
            announced_by: case.announced_by.clone(),
            crashed_upstreams: known.crashed_upstreams(case),
            part: format!("{part:x}").into(),
            remaining_ms: case.remaining(now).as_millis() as u64,
            requests: known.lost_requests(part, case),
            service: service.clone(),
            stage: case.stage(now),
        }
    }

    /// Announces the suspects that this VM counts to a VM that has restarted and therefore knows of none.
    pub fn handle_restart(&mut self, now: Duration, vm: &VmId) -> PartOutput {
        let mut output = PartOutput::default();
        self.announce_all_to(now, &BTreeSet::from([vm.clone()]), &mut output);
        output
    }

    /// Sets the live VMs of the own region.
    pub fn set_region_vms(&mut self, mut live: BTreeSet<VmId>) {
        live.insert(self.own_id.clone());
        self.region_vms = live;
    }

    /// Sets the list of live VMs. VMs with equal lists select the same owner for each service. Those that were not live
    /// before are told of the suspects.
    pub fn set_live_vms(&mut self, now: Duration, mut live: BTreeSet<VmId>) -> PartOutput {
        let mut output = PartOutput::default();
        live.insert(self.own_id.clone());
        let joined = &live - &self.live_vms;
        // The owners of before tell those that have joined.
        if !joined.is_empty() {
            self.announce_all_to(now, &joined, &mut output);
        }
        let cases = self
            .services
            .values_mut()
            .flat_map(|known| known.cases.values_mut());
        for case in cases {
            case.unacked_vms.retain(|vm| live.contains(vm));
        }
        self.live_vms = live;
        output
    }

    /// Announces the suspects of services that this VM counts to these VMs, until they acknowledge them.
    fn announce_all_to(&mut self, now: Duration, vms: &BTreeSet<VmId>, output: &mut PartOutput) {
        let services = self.services.keys().cloned().collect::<Vec<_>>();
        let announcement = self.number_announcement();
        for service in services {
            if !self.counters(&service).contains(&self.own_id) {
                continue;
            }
            let Some(known) = self.services.get_mut(&service) else {
                continue;
            };
            let cases = known.cases.values_mut();
            for case in cases.filter(|case| case.is_announced && case.stage.is_suspect()) {
                case.unacked_vms.extend(vms.iter().cloned());
                case.unacked_vms.remove(&self.own_id);
                case.announced_at = None;
                case.announcement = announcement;
            }
            Self::send_announcements(now, &service, known, output);
        }
    }

    /// Announces the stage of a part to all live VMs, with the next [`Self::send_announcements`].
    fn announce(
        &mut self,
        now: Duration,
        service: &ServiceId,
        part: PromptPartId,
        output: &mut PartOutput,
    ) {
        let announcement = self.number_announcement();
        let known = self.services.get_mut(service);
        let Some(case) = known.and_then(|known| known.cases.get_mut(&part)) else {
            return;
        };
        case.unacked_vms = self.live_vms.clone();
        case.unacked_vms.remove(&self.own_id);
        case.announced_at = None;
        case.announcement = announcement;
        case.is_announced = case.stage != PartStage::Cleared;
        if let Some(known) = self.services.get(service)
            && let Some(case) = known.cases.get(&part)
        {
            let change = Self::status(now, service, known, part, case);
            output.changes.push(change);
        }
    }

    fn number_announcement(&mut self) -> u16 {
        let number = self.next_announcement;
        self.next_announcement = number.wrapping_add(1);
        number
    }

    /// Sends the announcements of a service that are due, one message a VM.
    fn send_announcements(
        now: Duration,
        service: &ServiceId,
        known: &mut ServiceParts,
        output: &mut PartOutput,
    ) {
        let mut by_vm = BTreeMap::<VmId, Vec<AnnouncedPart>>::new();
        for (part, case) in &mut known.cases {
            let is_due = case
                .announced_at
                .is_none_or(|at| now >= at + Self::RESEND_INTERVAL);
            if case.unacked_vms.is_empty() || !is_due {
                continue;
            }
            case.announced_at = Some(now);
            let announced = AnnouncedPart {
                announcement: case.announcement,
                explained: case.explained.iter().cloned().collect(),
                lost_requests: case.lost_requests.iter().copied().collect(),
                part: *part,
                remaining: case.remaining(now),
                stage: case.stage(now),
                verdicts: case.verdicts,
            };
            for vm in &case.unacked_vms {
                by_vm.entry(vm.clone()).or_default().push(announced.clone());
            }
        }
        for (vm, parts) in by_vm {
            let service = service.clone();
            output.send(&vm, PartMessage::Announced { parts, service });
        }
    }

    /// Resends unconfirmed messages, decides what is due and drops expired entries. Call it a few times a second while
    /// [`Self::is_busy`].
    pub fn tick(&mut self, now: Duration) -> PartOutput {
        let mut output = PartOutput::default();
        self.permitted.retain(|_, until| now < *until);
        let live = &self.live_vms;
        self.pending_reports
            .retain(|_, report| now < report.resend_until && live.contains(&report.to));
        for report in self.pending_reports.values_mut() {
            if now >= report.sent_at + Self::RESEND_INTERVAL {
                report.sent_at = now;
                output.send(&report.to, report.message.clone());
            }
        }
        for (service, known) in &mut self.services {
            known.remove_expired(now);
            Self::send_announcements(now, service, known, &mut output);
        }
        self.services.retain(|_, known| !known.is_empty());
        let services = self.services.keys().cloned().collect::<Vec<_>>();
        for service in services {
            self.judge(now, &service, &BTreeSet::new(), &mut output);
        }
        self.handle_own_messages(now, output)
    }

    /// Whether [`Self::tick`] has anything to do.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        !self.services.is_empty() || !self.pending_reports.is_empty()
    }

    fn judge(
        &mut self,
        now: Duration,
        service: &ServiceId,
        lost: &BTreeSet<PromptPartId>,
        output: &mut PartOutput,
    ) {
        let max_early = self.early_allowance(now);
        let Some(known) = self.services.get_mut(service) else {
            return;
        };
        let changed = known.judge(now, lost, max_early);
        if changed.is_empty() {
            return;
        }
        self.early_suspects.1 += changed.len();
        for part in changed {
            self.announce(now, service, part, output);
        }
        self.flush(now, service, output);
    }

    /// Returns how many more parts may be announced after a single end.
    fn early_allowance(&mut self, now: Duration) -> usize {
        if now >= self.early_suspects.0 + Self::EARLY_WINDOW {
            self.early_suspects = (now, 0);
        }
        let cost = self.live_vms.len() * Self::ANNOUNCED_PART_BYTES;
        (Self::EARLY_BYTES / cost).saturating_sub(self.early_suspects.1)
    }

    /// Sends the announcements of a service that are due.
    fn flush(&mut self, now: Duration, service: &ServiceId, output: &mut PartOutput) {
        if let Some(known) = self.services.get_mut(service) {
            Self::send_announcements(now, service, known, output);
        }
    }

    /// Handles a message from another VM.
    pub fn handle_message(
        &mut self,
        now: Duration,
        from: &VmId,
        message: PartMessage,
    ) -> PartOutput {
        let mut output = PartOutput::default();
        self.handle(now, from, message, &mut output);
        self.handle_own_messages(now, output)
    }

    /// Handles the output's messages that are addressed to this VM itself.
    fn handle_own_messages(&mut self, now: Duration, mut output: PartOutput) -> PartOutput {
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
        message: PartMessage,
        output: &mut PartOutput,
    ) {
        match message {
            PartMessage::Acknowledged { parts, service } => {
                let known = self.services.get_mut(&service);
                let Some(known) = known else { return };
                for (part, stage, announcement) in parts {
                    let case = known.cases.get_mut(&part);
                    let is_current = |case: &&mut PartCase| {
                        case.stage(now) == stage && case.announcement == announcement
                    };
                    if let Some(case) = case.filter(is_current) {
                        case.unacked_vms.remove(from);
                    }
                }
            }
            PartMessage::Announced { parts, service } => {
                for announced in &parts {
                    self.record_announced(now, from, &service, announced, output);
                }
                let parts = parts
                    .iter()
                    .map(|announced| (announced.part, announced.stage, announced.announcement));
                let parts = parts.collect();
                output.send(from, PartMessage::Acknowledged { parts, service });
            }
            PartMessage::Lost {
                others_survive,
                report,
                runs,
                service,
                upstream,
            } => {
                let known = self.track_service(&service);
                let lost = known.record_losses(now, &upstream, &runs, others_survive);
                for part in known.explain(now, &lost) {
                    self.announce(now, &service, part, output);
                }
                output.send(from, PartMessage::Recorded { report });
                self.judge(now, &service, &lost, output);
            }
            PartMessage::Recorded { report } => {
                self.pending_reports.remove(&report);
            }
            PartMessage::Repeated { part, service } => {
                let known = self.services.get_mut(&service);
                if known.is_some_and(|known| known.reopen_doubtful(now, part)) {
                    self.announce(now, &service, part, output);
                    self.flush(now, &service, output);
                }
            }
            PartMessage::RequestTrial {
                fingerprint,
                parts,
                request,
                service,
            } => {
                if self.owner(&service).as_ref() != Some(&self.own_id) {
                    return;
                }
                let known = self.track_service(&service);
                if known.grant_trial(now, &parts, request, fingerprint) {
                    output.send(from, PartMessage::TrialGranted { request });
                }
            }
            PartMessage::Returned { request, service } => {
                let known = self.services.get_mut(&service);
                let cases = known.into_iter().flat_map(|known| known.cases.values_mut());
                cases.for_each(|case| case.return_trial(request));
            }
            PartMessage::Survived { parts, service } => {
                for part in parts {
                    self.clear_part(now, &service, part, output);
                }
                self.flush(now, &service, output);
            }
            PartMessage::TrialGranted { request } => {
                if self.permitted.len() < Self::MAX_PERMITTED {
                    self.permitted.insert(request, now + Self::TRIAL_DURATION);
                }
            }
        }
    }

    fn record_announced(
        &mut self,
        now: Duration,
        from: &VmId,
        service: &ServiceId,
        announced: &AnnouncedPart,
        output: &mut PartOutput,
    ) {
        let &AnnouncedPart {
            part,
            remaining,
            stage,
            verdicts,
            ..
        } = announced;
        let known = self.track_service(service);
        let before = known.stage(now, part);
        match stage {
            PartStage::Counted => return,
            PartStage::Cleared => {
                if let Some(case) = known.cases.get_mut(&part) {
                    case.clear(now);
                }
            }
            PartStage::Quarantined => {
                let case = known.track(now, part);
                case.record_verdict(now, verdicts, remaining);
            }
            PartStage::Suspected => {
                let case = known.track(now, part);
                case.record_suspicion(now, verdicts, remaining);
            }
        }
        let Some(case) = known.cases.get_mut(&part) else {
            return;
        };
        case.record_lost_requests(announced.lost_requests.iter().copied());
        case.record_explained(announced.explained.iter().cloned());
        case.announced_by = Some(from.clone());
        case.is_announced = stage.is_suspect();
        if before != Some(stage)
            && let Some(case) = known.cases.get(&part)
        {
            let change = Self::status(now, service, known, part, case);
            output.changes.push(change);
        }
        if stage.is_suspect() && self.survivals.contains(now, service, part) {
            let survived = self.report_survivals(now, service, vec![part]);
            output.messages.extend(survived.messages);
            output.changes.extend(survived.changes);
        }
    }

    /// Returns whether the owner has permitted a request as a trial.
    #[must_use]
    pub fn is_trial(&self, now: Duration, request: u64) -> bool {
        let until = self.permitted.get(&request);
        until.is_some_and(|until| now < *until)
    }

    /// Returns the VM that permits the trials of a service.
    fn owner(&self, service: &str) -> Option<VmId> {
        Self::hash(service).select_owner(&self.live_vms).cloned()
    }

    /// Returns the VMs that count for a service: its owner, and one of the own region, which still counts when the owner
    /// is out of reach or has just lost its memory.
    fn counters(&self, service: &str) -> BTreeSet<VmId> {
        let of_all = Self::hash(service).select_owner(&self.live_vms);
        let of_region = self.region_vms.iter().filter(|vm| Some(*vm) != of_all);
        let of_region = Self::hash(service).select_owner(of_region);
        of_all.into_iter().chain(of_region).cloned().collect()
    }

    fn hash(service: &str) -> RendezvousHash {
        RendezvousHash::new(xxh3_64(service.as_bytes()))
    }
}
