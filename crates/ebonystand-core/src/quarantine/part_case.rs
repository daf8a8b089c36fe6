use super::*;

/// What a VM knows of one part of the prompts for one service. Only the VMs that count for the service have ends.
#[derive(Clone, Debug)]
pub(crate) struct PartCase {
    /// Number of the last announcement to the VMs; a VM that has restarted gets one with a new number.
    pub(crate) announcement: u16,
    /// VM that announced the part last.
    pub(crate) announced_by: Option<VmId>,
    /// Time of the last announcement to the VMs; `None` if one is due.
    pub(crate) announced_at: Option<Duration>,
    /// Numbers of the last upstreams' ends under the part.
    ends: Vec<u64>,
    pub(crate) expires_at: Duration,
    /// Upstreams that went down under the part, on the VMs that know it as quarantined.
    pub(crate) explained: BTreeSet<UpstreamId>,
    /// Time until which ends do not count, since an upstream has begun an answer on the part.
    innocent_until: Duration,
    /// Numbers of the ends with which trials were lost.
    failed_trials: BTreeSet<u64>,
    /// Requests that were lost under the part until it was quarantined.
    pub(crate) lost_requests: BTreeSet<Fingerprint>,
    /// Whether all VMs are told of the part. One that is not announced is a suspect on the VMs alone that lost runs of it.
    pub(crate) is_announced: bool,
    /// Whether a VM that lost a run with the part had just seen upstreams begin answers on prompts without it.
    others_survive: bool,
    /// Time of the last report that a crashing request with the part has come again.
    repeat_reported_at: Option<Duration>,
    pub(crate) stage: PartStage,
    suspected_at: Duration,
    /// Time of the last report that an upstream has begun an answer on the part.
    pub(crate) survival_reported_at: Option<Duration>,
    trial: Option<PartTrial>,
    /// VMs that have not acknowledged the announcement of the stage.
    pub(crate) unacked_vms: BTreeSet<VmId>,
    /// Times that the part was quarantined since it was last cleared. From the first on, one failed trial quarantines it again.
    pub(crate) verdicts: u8,
}

/// The only run that may be in progress on prompts with a suspected part.
#[derive(Clone, Copy, Debug)]
struct PartTrial {
    request: u64,
    until: Duration,
}

impl PartCase {
    /// Time after a survival for which ends do not count.
    const INNOCENT_DURATION: Duration = Duration::from_secs(3);
    /// Largest number of lost requests that are kept and announced.
    const MAX_LOST_REQUESTS: usize = 8;
    /// Largest number of ends that are kept.
    const MAX_ENDS: usize = 8;
    /// Failed trials that quarantine a part although many upstreams go down without it. One may fail by chance.
    const FAILED_TRIALS: usize = 2;
    /// Ends without which no part is quarantined.
    pub(crate) const QUARANTINE_ENDS: usize = 3;
    /// Times for which the first verdicts hold before a trial tests them; those after them hold for
    /// [`PartQuarantine::QUARANTINE_DURATION`]. The trials of an hour must not exceed the runs that a deployment allows
    /// after a quarantine, which are three.
    const RETRIAL_PAUSES: [Duration; 3] = [
        Duration::from_secs(60),
        Duration::from_secs(300),
        Duration::from_secs(1_500),
    ];
    /// Time after a suspicion in which survivals on other VMs may still clear the part.
    const SETTLE_DURATION: Duration = Duration::from_millis(400);

    /// Time after which a trial without news no longer blocks another.
    const TRIAL_DURATION: Duration = Duration::from_secs(5);

    pub(crate) fn new(now: Duration) -> Self {
        Self {
            announcement: 0,
            announced_by: None,
            announced_at: None,
            ends: Vec::new(),
            expires_at: now + PartQuarantine::SUSPECT_DURATION,
            explained: BTreeSet::new(),
            innocent_until: Duration::ZERO,
            failed_trials: BTreeSet::new(),
            lost_requests: BTreeSet::new(),
            is_announced: false,
            others_survive: false,
            repeat_reported_at: None,
            stage: PartStage::Counted,
            suspected_at: Duration::ZERO,
            survival_reported_at: None,
            trial: None,
            unacked_vms: BTreeSet::new(),
            verdicts: 0,
        }
    }

    /// Records that a run with the part was lost with its upstream.
    pub(crate) fn record_loss(
        &mut self,
        now: Duration,
        end: u64,
        is_trial: bool,
        others_survive: bool,
    ) {
        if now < self.innocent_until {
            return;
        }
        self.stage = self.stage(now);
        self.others_survive |= others_survive;
        if !self.ends.contains(&end) {
            if self.ends.len() == Self::MAX_ENDS {
                self.ends.remove(0);
            }
            self.ends.push(end);
        }
        if self.stage != PartStage::Quarantined {
            self.expires_at = self.expires_at.max(now + PartQuarantine::SUSPECT_DURATION);
        }
        if is_trial && self.stage == PartStage::Suspected {
            self.failed_trials.insert(end);
            self.trial = None;
        }
    }

    /// Clears the part after an upstream has begun an answer on it. Returns whether all VMs have to be told.
    pub(crate) fn clear(&mut self, now: Duration) -> bool {
        self.ends.clear();
        self.failed_trials.clear();
        self.explained.clear();
        self.lost_requests.clear();
        self.verdicts = 0;
        self.others_survive = false;
        self.trial = None;
        self.innocent_until = now + Self::INNOCENT_DURATION;
        let was_suspect = self.stage.is_suspect();
        if was_suspect {
            self.stage = PartStage::Cleared;
            self.expires_at = now + PartQuarantine::CLEARED_DURATION;
        }
        std::mem::take(&mut self.is_announced) && was_suspect
    }

    /// Makes the part a suspect unless it is quarantined.
    pub(crate) fn suspect(&mut self, now: Duration, remaining: Duration) {
        if !self.stage(now).is_suspect() {
            self.stage = PartStage::Suspected;
            self.suspected_at = now;
            self.expires_at = now + remaining;
        } else if self.stage == PartStage::Suspected {
            self.expires_at = self.expires_at.max(now + remaining);
        }
    }

    /// Records upstreams that went down under the part, as another request's loss there is no evidence against that request.
    /// Returns whether any was not known.
    pub(crate) fn record_explained(
        &mut self,
        upstreams: impl IntoIterator<Item = UpstreamId>,
    ) -> bool {
        let known = self.explained.len();
        let room = Self::MAX_ENDS.saturating_sub(known);
        self.explained.extend(upstreams.into_iter().take(room));
        self.explained.len() > known
    }

    /// Records requests that were lost under the part before it was quarantined.
    pub(crate) fn record_lost_requests(&mut self, requests: impl IntoIterator<Item = Fingerprint>) {
        let room = Self::MAX_LOST_REQUESTS.saturating_sub(self.lost_requests.len());
        self.lost_requests.extend(requests.into_iter().take(room));
    }

    /// Quarantines the part by a verdict of this VM, until the next trial of it is due.
    pub(crate) fn quarantine(&mut self, now: Duration) {
        let verdicts = self.verdicts.saturating_add(1);
        let pause = Self::RETRIAL_PAUSES.get(usize::from(self.verdicts));
        let pause = pause.copied();
        let pause = pause.unwrap_or(PartQuarantine::QUARANTINE_DURATION);
        self.record_verdict(now, verdicts, pause);
    }

    /// Records a verdict of another VM that holds for `remaining`.
    pub(crate) fn record_verdict(&mut self, now: Duration, verdicts: u8, remaining: Duration) {
        self.stage = PartStage::Quarantined;
        self.expires_at = now + remaining;
        self.failed_trials.clear();
        self.trial = None;
        self.verdicts = verdicts.max(self.verdicts);
    }

    /// Records that another VM suspects the part after so many verdicts. It ends a quarantine by no more verdicts than these.
    pub(crate) fn record_suspicion(&mut self, now: Duration, verdicts: u8, remaining: Duration) {
        let is_reopened = verdicts > 0 && verdicts >= self.verdicts;
        if is_reopened && self.stage(now) == PartStage::Quarantined {
            self.reopen(now);
        }
        self.suspect(now, remaining);
        self.verdicts = verdicts.max(self.verdicts);
    }

    /// Returns whether it is to be reported that a crashing request with the part has come again, at most from time to time.
    pub(crate) fn is_repeat_report_due(&mut self, now: Duration) -> bool {
        let last = self.repeat_reported_at;
        let is_due = last.is_none_or(|at| now >= at + PartQuarantine::RESEND_INTERVAL);
        if is_due {
            self.repeat_reported_at = Some(now);
        }
        is_due
    }

    /// Makes a quarantined part a suspect, so that a trial tests the verdict.
    pub(crate) fn reopen(&mut self, now: Duration) {
        self.stage = PartStage::Suspected;
        self.suspected_at = now;
        self.expires_at = now + PartQuarantine::QUARANTINE_DURATION;
    }

    /// Returns whether the part is quarantined by a verdict that no trial has tested.
    pub(crate) fn is_first_verdict(&self, now: Duration) -> bool {
        self.verdicts == 1 && self.stage(now) == PartStage::Quarantined
    }

    /// Returns whether the part was quarantined since it was last cleared.
    pub(crate) fn is_known_cause(&self) -> bool {
        self.verdicts > 0
    }

    /// Returns the stage in force. After a quarantine the part is a suspect again, so that one trial shows whether
    /// upstreams still go down under it.
    pub(crate) fn stage(&self, now: Duration) -> PartStage {
        match self.stage {
            PartStage::Quarantined if now >= self.expires_at => PartStage::Suspected,
            stage => stage,
        }
    }

    /// Returns whether the entry is of no use any more.
    pub(crate) fn has_expired(&self, now: Duration) -> bool {
        now >= self.forgotten_at()
    }

    /// Returns the time until the stage in force ends.
    pub(crate) fn remaining(&self, now: Duration) -> Duration {
        let ends_at = match self.stage(now) {
            PartStage::Quarantined => self.expires_at,
            _ => self.forgotten_at(),
        };
        ends_at.saturating_sub(now)
    }

    fn forgotten_at(&self) -> Duration {
        let kept = match self.stage {
            PartStage::Quarantined => {
                PartQuarantine::QUARANTINE_DURATION + PartQuarantine::SUSPECT_DURATION
            }
            _ => Duration::ZERO,
        };
        self.expires_at + kept
    }

    /// Returns whether the evidence is enough to quarantine a suspect: enough upstreams went down under it, and these `ends` are
    /// half of the `recent_ends` of the service or several failed trials are among them. Among many that go down for other
    /// reasons, a part is lost with several by chance. While upstreams begin no answers on other prompts, a part of all
    /// prompts is lost with each that goes down, and more failed trials are needed.
    pub(crate) fn is_conclusive(&self, now: Duration, ends: usize, recent_ends: usize) -> bool {
        let is_settled = now >= self.suspected_at + Self::SETTLE_DURATION;
        let explains_half = ends * 2 >= recent_ends;
        if self.is_known_cause() {
            return ends > 0 && !self.failed_trials.is_empty();
        }
        let is_proved = match self.others_survive {
            true => {
                (is_settled && explains_half) || self.failed_trials.len() >= Self::FAILED_TRIALS
            }
            false => self.failed_trials.len() > Self::FAILED_TRIALS,
        };
        ends >= Self::QUARANTINE_ENDS && is_proved
    }

    /// Returns whether enough upstreams went down for a quarantine.
    pub(crate) fn has_enough_ends(&self) -> bool {
        self.is_known_cause() || self.ends.len() >= Self::QUARANTINE_ENDS
    }

    /// Forgets that a trial failed, since another part explains it.
    pub(crate) fn excuse_trial(&mut self) {
        self.failed_trials.clear();
    }

    /// Numbers of the last upstreams' ends under the part.
    pub(crate) fn ends(&self) -> &[u64] {
        &self.ends
    }

    /// Returns whether a trial of a request may begin.
    pub(crate) fn may_try(&self, now: Duration, request: u64) -> bool {
        self.trial
            .is_none_or(|trial| trial.request == request || now >= trial.until)
    }

    pub(crate) fn begin_trial(&mut self, now: Duration, request: u64) {
        let until = now + Self::TRIAL_DURATION;
        self.trial = Some(PartTrial { request, until });
    }

    pub(crate) fn return_trial(&mut self, request: u64) {
        self.trial = self.trial.filter(|trial| trial.request != request);
    }
}
