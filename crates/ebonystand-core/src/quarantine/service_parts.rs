use super::*;

/// Parts of the prompts for one service under which its upstreams went down.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServiceParts {
    /// Requests of this VM that ask the owner for its permission, by their suspects, and when they last did.
    asking: BTreeMap<Vec<PromptPartId>, (u64, Duration)>,
    pub(crate) cases: BTreeMap<PromptPartId, PartCase>,
    /// Quarantined requests, which explain the ends at which they were lost.
    crashing_requests: Rc<BTreeSet<Fingerprint>>,
    /// Ends of upstreams by their numbers, in their order.
    ends: BTreeMap<u64, UpstreamEnd>,

    /// Parts under which enough upstreams went down for a quarantine.
    grave: BTreeSet<PromptPartId>,
    next_end: u64,
}

impl ServiceParts {
    /// Ends after which all VMs are told of a suspect, whatever that costs.
    const CERTAIN_ENDS: usize = 2;
    /// Largest number of parts in the table. Beyond it, one under which the fewest upstreams went down is evicted.
    const MAX_CASES: usize = 4_096;
    /// Largest number of ends that are remembered.
    const MAX_ENDS: usize = 256;
    /// Largest number of requests that a status names.
    const MAX_NAMED_REQUESTS: usize = 8;
    /// Time within which VMs report the end of an upstream. Until then, the part that caused it may be missing.
    const REPORT_DURATION: Duration = Duration::from_millis(150);
    /// Reports about one upstream within this time are of one end.
    const SAME_END_WINDOW: Duration = Duration::from_secs(5);
    /// Time between two requests for a trial.
    const REQUEST_INTERVAL: Duration = Duration::from_millis(200);

    /// Time for which an end is compared with those under a part.
    const RECENT_DURATION: Duration = Duration::from_secs(30);

    pub(crate) fn new(crashing_requests: Rc<BTreeSet<Fingerprint>>) -> Self {
        Self {
            crashing_requests,
            ..Self::default()
        }
    }

    /// Counts runs that were lost with their upstream. Returns their parts.
    pub(crate) fn record_losses(
        &mut self,
        now: Duration,
        upstream: &UpstreamId,
        runs: &[LostRun],
        others_survive: bool,
    ) -> BTreeSet<PromptPartId> {
        let parts = runs.iter().flat_map(|run| run.parts.iter().copied());
        let parts = parts.collect::<BTreeSet<_>>();
        let number = self.number_of_end(now, upstream);
        let trials = runs.iter().filter(|run| run.is_trial);
        let is_tried = |part: &&PromptPartId| {
            let mut of_part = trials.clone().filter(|run| run.parts.contains(part));
            of_part.any(|run| self.tests_verdict(**part, run.fingerprint))
        };
        let tried = parts.iter().filter(is_tried).copied();
        let tried = tried.collect::<BTreeSet<_>>();
        if let Some(end) = self.ends.get_mut(&number) {
            runs.iter().for_each(|run| end.record(run));
        }
        for part in &parts {
            let is_trial = tried.contains(part);
            let case = self.track(now, *part);
            case.record_loss(now, number, is_trial, others_survive);
            if case.has_enough_ends() {
                self.grave.insert(*part);
            }
        }
        parts
    }

    /// Returns the number of an upstream's end, a new one unless it was reported already.
    fn number_of_end(&mut self, now: Duration, upstream: &UpstreamId) -> u64 {
        let recent = self.ends.values().rev();
        let mut recent = recent.take_while(|end| now < end.at + Self::SAME_END_WINDOW);
        if let Some(end) = recent.find(|end| end.upstream == *upstream) {
            return end.number;
        }
        if self.ends.len() == Self::MAX_ENDS {
            self.ends.pop_first();
        }
        self.next_end += 1;
        let end = UpstreamEnd {
            at: now,
            number: self.next_end,
            parts: BTreeMap::new(),
            upstream: upstream.clone(),
        };
        self.ends.insert(self.next_end, end);
        self.next_end
    }

    /// Decides of which parts all VMs are to be told as suspects or as quarantined, and returns them. `lost` are the parts
    /// of new reports; of those under which a single upstream went down, at most `max_early` become suspects.
    pub(crate) fn judge(
        &mut self,
        now: Duration,
        lost: &BTreeSet<PromptPartId>,
        max_early: usize,
    ) -> Vec<PromptPartId> {
        let is_new = |case: &PartCase| {
            let is_open = matches!(case.stage, PartStage::Counted | PartStage::Suspected);
            is_open && !case.is_announced
        };
        let cases = lost
            .iter()
            .filter_map(|part| self.cases.get_key_value(part));
        let new = cases.filter(|(_, case)| is_new(case) && self.has_unexplained_end(now, case));
        let (certain, early): (Vec<_>, Vec<_>) =
            new.partition(|(_, case)| case.ends().len() >= Self::CERTAIN_ENDS);
        let suspects = certain.into_iter().chain(early.into_iter().take(max_early));
        let suspects = suspects.map(|(part, _)| *part).collect::<Vec<_>>();
        let mut changed = suspects.iter().copied().collect::<BTreeSet<_>>();
        for part in suspects {
            if let Some(case) = self.cases.get_mut(&part) {
                case.suspect(now, PartQuarantine::SUSPECT_DURATION);
            }
        }
        while let Some(part) = self.find_cause(now) {
            changed.insert(part);
            self.quarantine(now, part);
        }
        changed.into_iter().collect()
    }

    fn quarantine(&mut self, now: Duration, part: PromptPartId) {
        let case = self.cases.get(&part);
        let lost = case.map(|case| self.ends_of_requests(part, case));
        let lost = lost.into_iter().flat_map(BTreeMap::into_keys);
        let lost = lost.collect::<Vec<_>>();
        if let Some(case) = self.cases.get_mut(&part) {
            case.record_lost_requests(lost);
            case.quarantine(now);
        }
        self.explain(now, &BTreeSet::from([part]));
    }

    /// Records for those of these parts that are quarantined which ends they explain. Returns the parts that explain ends which
    /// they did not explain before.
    pub(crate) fn explain(
        &mut self,
        now: Duration,
        parts: &BTreeSet<PromptPartId>,
    ) -> Vec<PromptPartId> {
        let quarantined = parts.iter().filter(|part| self.is_quarantined(now, part));
        let mut changed = Vec::new();
        for part in quarantined.copied().collect::<Vec<_>>() {
            let case = self.cases.get(&part);
            let ends = case.map(|case| self.ends_beside_requests(part, case));
            let ends = ends.into_iter().flatten().flatten();
            let ends = ends.map(|end| {
                let requests = end.requests(part).collect::<Vec<_>>();
                (end.upstream.clone(), requests)
            });
            let (upstreams, requests) = ends.collect::<(Vec<_>, Vec<_>)>();
            if let Some(case) = self.cases.get_mut(&part)
                && case.record_explained(upstreams)
            {
                case.record_lost_requests(requests.into_iter().flatten());
                changed.push(part);
            }
        }
        changed
    }

    /// Finds a suspect that is proved to end upstreams. Suspects whose ends a quarantined part explains stay suspects.
    fn find_cause(&mut self, now: Duration) -> Option<PromptPartId> {
        let conclusive = self.conclusive(now);
        let (unexplained, explained): (Vec<_>, Vec<_>) = conclusive.into_iter().partition(|part| {
            let case = self.cases.get(part);
            case.is_some_and(|case| self.has_unexplained_end(now, case))
        });
        for part in explained {
            if let Some(case) = self.cases.get_mut(&part) {
                case.excuse_trial();
            }
        }
        let mut unexplained = unexplained.into_iter();
        unexplained.find(|part| self.rivals(now, *part).is_empty())
    }

    /// Returns whether some end under a part is of an upstream that lost no prompt with a quarantined part.
    fn has_unexplained_end(&self, now: Duration, case: &PartCase) -> bool {
        let mut ends = case.ends().iter().map(|end| self.end(*end));
        ends.any(|end| end.is_none_or(|end| !self.is_explained(now, end)))
    }

    /// Counts the ends that only the part explains: no prompt with a quarantined part was lost there, and no crashing request
    /// that has the part.
    fn count_evidence(&self, now: Duration, part: PromptPartId, case: &PartCase) -> usize {
        let ends = self.ends_beside_requests(part, case).into_iter();
        let evidence = ends.filter(|end| end.is_none_or(|end| !self.is_explained(now, end)));
        evidence.count()
    }

    /// Returns the ends under a part at which no crashing request that has it was lost; `None` stands for one that is
    /// forgotten.
    fn ends_beside_requests(
        &self,
        part: PromptPartId,
        case: &PartCase,
    ) -> Vec<Option<&UpstreamEnd>> {
        let crashing = self.crashing_requests(part, case);
        let ends = case.ends().iter().map(|end| self.end(*end));
        let is_beside = |end: &Option<&UpstreamEnd>| {
            end.is_none_or(|end| end.requests(part).all(|of| !crashing.contains(&of)))
        };
        ends.filter(is_beside).collect()
    }

    /// Returns the requests with a part that are quarantined, or were lost with as many upstreams as a quarantine takes.
    fn crashing_requests(&self, part: PromptPartId, case: &PartCase) -> BTreeSet<Fingerprint> {
        let lost = self.ends_of_requests(part, case).into_iter();
        let crashing = lost.filter(|(request, ends)| {
            *ends >= PartCase::QUARANTINE_ENDS || self.crashing_requests.contains(request)
        });
        crashing.map(|(request, _)| request).collect()
    }

    /// Returns the requests with a part that were lost with upstreams, each with the number of these.
    fn ends_of_requests(
        &self,
        part: PromptPartId,
        case: &PartCase,
    ) -> BTreeMap<Fingerprint, usize> {
        let mut lost = BTreeMap::new();
        for end in case.ends().iter().filter_map(|end| self.end(*end)) {
            for request in end.requests(part) {
                *lost.entry(request).or_default() += 1;
            }
        }
        lost
    }

    /// Sets the quarantined requests. Returns the quarantined parts that are made suspects since these explain their ends.
    pub(crate) fn set_crashing_requests(
        &mut self,
        now: Duration,
        requests: &Rc<BTreeSet<Fingerprint>>,
    ) -> Vec<PromptPartId> {
        self.crashing_requests = Rc::clone(requests);
        let lacks_evidence = |(part, case): &(&PromptPartId, &PartCase)| {
            case.is_first_verdict(now)
                && case.ends().len() >= PartCase::QUARANTINE_ENDS
                && self.ends_beside_requests(**part, case).len() < PartCase::QUARANTINE_ENDS
        };
        let doubtful = self.cases.iter().filter(lacks_evidence);
        let doubtful = doubtful.map(|(part, _)| *part).collect::<Vec<_>>();
        for part in &doubtful {
            if let Some(case) = self.cases.get_mut(part) {
                case.reopen(now);
            }
        }
        doubtful
    }

    /// Makes a quarantined part a suspect if one of the requests that it was quarantined for ended several upstreams, as
    /// one that ends them by itself does. Returns whether it did.
    pub(crate) fn reopen_doubtful(&mut self, now: Duration, part: PromptPartId) -> bool {
        let Some(case) = self.cases.get(&part) else {
            return false;
        };
        let lost = self.ends_of_requests(part, case);
        let is_reopened = case.is_first_verdict(now) && lost.values().any(|ends| *ends > 1);
        if is_reopened && let Some(case) = self.cases.get_mut(&part) {
            case.reopen(now);
        }
        is_reopened
    }

    /// Returns whether a trial of a request would test the verdict on a part: none of a request that was lost under it would.
    fn tests_verdict(&self, part: PromptPartId, request: Fingerprint) -> bool {
        let case = self.cases.get(&part).filter(|case| case.is_known_cause());
        case.is_none_or(|case| {
            let lost = self.ends_of_requests(part, case);
            !lost.contains_key(&request) && !case.lost_requests.contains(&request)
        })
    }

    /// Returns whether an upstream lost a prompt with a quarantined part as it ended.
    fn is_explained(&self, now: Duration, end: &UpstreamEnd) -> bool {
        end.parts.keys().any(|part| self.is_quarantined(now, part))
    }

    /// Returns whether all VMs have had the time to report the last end under a part.
    fn is_reported(&self, now: Duration, case: &PartCase) -> bool {
        let last = case.ends().last().and_then(|end| self.end(*end));
        last.is_none_or(|end| now >= end.at + Self::REPORT_DURATION)
    }

    fn end(&self, number: u64) -> Option<&UpstreamEnd> {
        self.ends.get(&number)
    }

    /// Returns the names of the last upstreams that went down under a part.
    pub(crate) fn crashed_upstreams(&self, case: &PartCase) -> Vec<UpstreamId> {
        let ends = case.ends().iter().filter_map(|end| self.end(*end));
        ends.map(|end| end.upstream.clone()).collect()
    }

    /// Returns the fingerprints of the requests that were lost with the last upstreams that went down under a part.
    pub(crate) fn lost_requests(&self, part: PromptPartId, case: &PartCase) -> Vec<Box<str>> {
        let ends = case.ends().iter().filter_map(|end| self.end(*end));
        let requests = ends.flat_map(|end| end.requests(part));
        let requests = requests.collect::<BTreeSet<_>>().into_iter();
        requests
            .take(Self::MAX_NAMED_REQUESTS)
            .map(|fingerprint| format!("{fingerprint:032x}").into())
            .collect()
    }

    /// Returns the suspects under which enough upstreams went down. An end that a quarantined part or a crashing request
    /// explains is no evidence against the others that were lost with it.
    fn conclusive(&self, now: Duration) -> Vec<PromptPartId> {
        let is_recent = |end: &&UpstreamEnd| now < end.at + Self::RECENT_DURATION;
        if self.grave.is_empty() {
            return Vec::new();
        }
        let recent_ends = self.ends.values().filter(is_recent).count();

        let grave = self.grave.iter();
        let grave = grave.filter_map(|part| self.cases.get_key_value(part));
        let conclusive = grave.filter(|(part, case)| {
            let ends = self.count_evidence(now, **part, case);
            case.stage(now) == PartStage::Suspected
                && case.is_conclusive(now, ends, recent_ends)
                && self.is_reported(now, case)
        });
        conclusive.map(|(part, _)| *part).collect()
    }

    /// Returns the suspects with enough ends of their own that share so many ends with a part that the others are not enough.
    fn rivals(&self, now: Duration, part: PromptPartId) -> Vec<PromptPartId> {
        let Some(case) = self.cases.get(&part) else {
            return Vec::new();
        };
        let ends = case.ends().iter().filter_map(|end| self.end(*end));
        let ends = ends.filter(|end| !self.is_explained(now, end));
        let ends = ends.collect::<Vec<_>>();
        let is_rival = |other: &PromptPartId| {
            let without = ends.iter().filter(|end| !end.parts.contains_key(other));
            let other = self.cases.get(other);
            other.is_some_and(|other| {
                other.stage(now) == PartStage::Suspected && other.has_enough_ends()
            }) && without.count() < PartCase::QUARANTINE_ENDS
        };
        let others = ends.iter().flat_map(|end| end.parts.keys());
        let others = others.copied().collect::<BTreeSet<_>>();
        others
            .into_iter()
            .filter(|other| *other != part && is_rival(other))
            .collect()
    }

    /// Returns whether a run of a prompt with these suspects would tell nothing: it has a part that is known to end
    /// upstreams unless one of its rivals does, and all of these.
    fn is_uninformative(&self, now: Duration, suspects: &[PromptPartId]) -> bool {
        let conclusive = self.conclusive(now);
        let mut conclusive = conclusive.iter().filter(|part| suspects.contains(part));
        conclusive.any(|part| {
            let rivals = self.rivals(now, *part);
            rivals.iter().all(|rival| suspects.contains(rival))
        })
    }

    pub(crate) fn is_quarantined(&self, now: Duration, part: &PromptPartId) -> bool {
        self.stage(now, *part) == Some(PartStage::Quarantined)
    }

    pub(crate) fn stage(&self, now: Duration, part: PromptPartId) -> Option<PartStage> {
        let case = self.cases.get(&part)?;
        (!case.has_expired(now)).then(|| case.stage(now))
    }

    /// Returns those of these parts that are suspects or quarantined.
    pub(crate) fn suspects(&self, now: Duration, parts: &[PromptPartId]) -> Vec<PromptPartId> {
        let is_suspect =
            |part: &&PromptPartId| self.stage(now, **part).is_some_and(PartStage::is_suspect);
        parts.iter().filter(is_suspect).copied().collect()
    }

    /// Permits a run of a prompt with these suspects, unless another is in progress.
    pub(crate) fn grant_trial(
        &mut self,
        now: Duration,
        parts: &[PromptPartId],
        request: u64,
        fingerprint: Fingerprint,
    ) -> bool {
        for part in parts {
            // An owner that has lost its memory learns of the suspect from the VM that asks.
            let case = self.track(now, *part);
            if case.stage == PartStage::Counted {
                case.suspect(now, PartQuarantine::SUSPECT_DURATION);
            }
        }
        let suspects = parts.iter().filter_map(|part| self.cases.get(part));
        let may_try = suspects
            .filter(|case| case.stage(now) != PartStage::Cleared)
            .all(|case| {
                case.stage(now) == PartStage::Suspected
                    && case.may_try(now, request)
                    && self.is_reported(now, case)
            });
        let suspects = parts.iter().filter(|part| {
            let stage = self.stage(now, **part);
            stage == Some(PartStage::Suspected)
        });
        let tests_verdicts = suspects
            .into_iter()
            .all(|part| self.tests_verdict(*part, fingerprint));
        let may_try = may_try && tests_verdicts && !self.is_uninformative(now, parts);
        if may_try {
            for part in parts {
                if let Some(case) = self.cases.get_mut(part) {
                    case.begin_trial(now, request);
                }
            }
        }
        may_try
    }

    /// Returns whether a request with these suspects is to ask the owner for its permission now: one of them at a time, again
    /// and again until it stops.
    pub(crate) fn begin_request(
        &mut self,
        now: Duration,
        suspects: &[PromptPartId],
        request: u64,
    ) -> bool {
        if let Some((asker, at)) = self.asking.get(suspects) {
            let interval = match *asker == request {
                true => Self::REQUEST_INTERVAL,
                false => 2 * Self::REQUEST_INTERVAL,
            };
            if now < *at + interval {
                return false;
            }
        }
        self.asking.insert(suspects.into(), (request, now));
        true
    }

    /// Returns the entry of a part, inserted if missing.
    pub(crate) fn track(&mut self, now: Duration, part: PromptPartId) -> &mut PartCase {
        if self
            .cases
            .get(&part)
            .is_some_and(|case| case.has_expired(now))
        {
            self.cases.remove(&part);
        }
        if !self.cases.contains_key(&part) && self.cases.len() >= Self::MAX_CASES {
            self.evict_one();
        }
        self.cases.entry(part).or_insert_with(|| PartCase::new(now))
    }

    fn evict_one(&mut self) {
        let harmless = self
            .cases
            .iter()
            .min_by_key(|(_, case)| (case.stage.is_suspect(), case.ends().len(), case.expires_at))
            .map(|(part, _)| *part);
        if let Some(harmless) = harmless {
            self.cases.remove(&harmless);
        }
    }

    pub(crate) fn remove_expired(&mut self, now: Duration) {
        self.cases.retain(|_, case| !case.has_expired(now));
        self.asking
            .retain(|_, (_, at)| now < *at + 2 * Self::REQUEST_INTERVAL);
        self.ends
            .retain(|_, end| now < end.at + PartQuarantine::SUSPECT_DURATION);
        self.grave.retain(|part| {
            let case = self.cases.get(part);
            case.is_some_and(PartCase::has_enough_ends)
        });
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.cases.is_empty() && self.ends.is_empty()
    }
}
