use {
    super::*,
    rand::{RngExt as _, SeedableRng},
    rand_pcg::Pcg64Mcg,
};

/// Protocol that distributes the configuration from the members of its log to all VMs by push,
/// gossip and pull.
///
/// A VM that gets a new change pushes it to [`Feed::FAN_OUT`] other VMs, once; a VM that no push
/// reaches hears of the version by gossip and pulls. A change therefore costs each VM the same,
/// however large the fleet. A VM puts in force only the next version, or a whole newer document,
/// and never an older one.
///
/// A VM that restarts may have served a newer version before than it holds now. It is not ready
/// until it has caught up with the log's leader. If no leader answers within
/// [`Feed::START_TIMEOUT`], it catches up with the peers that it reaches instead, since a version
/// that one of them has put in force has reached the others by then.
#[derive(Clone, Debug)]
pub struct Feed {
    /// Parts of the document that were sent lately.
    sent_parts: SentParts,
    /// Whether withdrawn keys have been requested from a peer since the last tick.
    withdrawals_requested: bool,
    /// Newer document that is being copied in parts.
    copy: Option<DocumentCopy>,
    /// Whether this VM leads the configuration's log.
    is_leader: bool,
    change_log: ChangeLog,
    /// Peers that were lately heard to have a newer version.
    newer_peers: NewerPeers,
    next_tick: Duration,
    peers: FeedPeers,
    proposals: WithdrawalProposals,
    /// Pull that has not been answered yet.
    open_pull: Option<OpenPull>,
    /// Number of this process's questions for versions. It is random: an answer to a former process
    /// of the VM may be older than what that process has served.
    question: u64,
    readiness: Readiness,
    rng: Pcg64Mcg,
    /// Number of consecutive pulls that timed out.
    unanswered_pulls: u32,
    /// Version in force once all outputs so far are carried out.
    version: Version,
    withdrawals: Withdrawals,
}

/// Request for a newer configuration that has not been answered yet.
#[derive(Clone, Debug)]
struct OpenPull {
    from: VmId,
    sent_at: Duration,
}

impl OpenPull {
    /// Returns the output that reports how the pull ended.
    fn into_output(self, now: Duration, end: PullOutcome) -> FeedOutput {
        FeedOutput::PullEnded {
            end,
            from: self.from,
            waited: Some(now.saturating_sub(self.sent_at)),
        }
    }
}

impl Feed {
    /// Number of peers that a VM tells of a version whose changes they have to pull. With four, two
    /// in a hundred VMs are told by none and hear of it only by gossip, seconds later.
    pub const ANNOUNCE_FAN_OUT: usize = 8;
    /// Number of peers that a VM pushes a change to.
    pub const FAN_OUT: usize = 4;
    /// Time to wait for the answer to a pull, before any doubling.
    pub const PULL_TIMEOUT: Duration = Duration::from_secs(1);
    /// Maximum number of times that the wait for an answer doubles. On a slow link a part may take
    /// longer than the wait, and each repeated pull puts another part on that link.
    const MAX_PULL_DOUBLINGS: u32 = 5;
    /// Time that a starting VM waits for the log's leader.
    pub const START_TIMEOUT: Duration = Duration::from_secs(5);
    /// Time between two [`FeedInput::Tick`]s.
    pub const TICK_INTERVAL: Duration = Duration::from_millis(500);

    /// Creates the feed of a VM that starts. `members` are the VMs of the configuration's log,
    /// which may include this VM.
    #[must_use]
    pub fn new(own: VmId, members: Vec<VmId>, now: Duration, seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        Self {
            sent_parts: SentParts::default(),
            withdrawals_requested: false,
            copy: None,
            is_leader: false,
            change_log: ChangeLog::default(),
            newer_peers: NewerPeers::default(),
            next_tick: now,
            peers: FeedPeers::new(own, members),
            proposals: WithdrawalProposals::default(),
            open_pull: None,
            question: rng.random(),
            readiness: Readiness::new(now),
            rng,
            unanswered_pulls: 0,
            version: 0,
            withdrawals: Withdrawals::default(),
        }
    }

    /// Returns the time when [`FeedInput::Tick`] is next due.
    #[must_use]
    pub fn deadline(&self) -> Duration {
        self.next_tick
    }

    /// Returns whether the VM may serve requests.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.readiness.is_ready()
    }

    /// Sets the VMs that are members of the configuration's log.
    pub fn set_members(&mut self, members: Vec<VmId>) {
        self.peers.set_members(members);
    }

    /// Processes an input and returns the resulting actions. `document` is the one in force, with
    /// all earlier outputs carried out.
    pub fn step(
        &mut self,
        now: Duration,
        document: &Document,
        input: FeedInput,
    ) -> Vec<FeedOutput> {
        let mut outputs = Vec::new();
        self.version = document.version;
        match input {
            FeedInput::Committed { change } => {
                self.change_log.push(change);
                self.push_changes(&mut outputs);
            }
            FeedInput::PeerVersion {
                version,
                vm,
                withdrawals,
            } => self.record_peer_version(now, vm, version, Some(withdrawals), &mut outputs),
            FeedInput::Leading { leading } => self.is_leader = leading,
            FeedInput::Message { from, message } => {
                self.receive_message(now, document, from, message, &mut outputs);
            }
            FeedInput::Peers { far, near } => {
                let first = self.peers.is_empty();
                self.peers.set_live(far, near);
                if first && !self.is_ready() {
                    self.request_versions(&mut outputs);
                }
            }
            FeedInput::Tick => self.tick(now, &mut outputs),
            FeedInput::Withdraw { key } => {
                let version = document.version;
                self.add_withdrawals(document, &[Withdrawal { key, version }], &mut outputs);
            }
        }
        self.withdrawals.remove_settled(document);
        if self.change_log.version() != self.version {
            self.change_log.reset(self.version);
        }
        self.update_readiness(now, &mut outputs);
        outputs
    }

    /// Returns the withdrawn keys that the document does not show yet. Each look-up of a key must
    /// consult them.
    #[must_use]
    pub fn withdrawals(&self) -> &Withdrawals {
        &self.withdrawals
    }

    /// Asks the log's members and some live VMs for their versions.
    fn request_versions(&mut self, outputs: &mut Vec<FeedOutput>) {
        let asked = self.peers.pick_for_start(&mut self.rng);
        let question = self.question;
        outputs.extend(asked.into_iter().map(|to| FeedOutput::Send {
            message: FeedMessage::Ask { question },
            to,
        }));
    }

    /// Makes the VM ready once it has caught up.
    fn update_readiness(&mut self, now: Duration, outputs: &mut Vec<FeedOutput>) {
        self.newer_peers.retain(now, self.version);
        let has_newer = !self.newer_peers.is_empty();
        if self
            .readiness
            .update(now, self.version, has_newer, self.is_leader)
        {
            outputs.push(FeedOutput::Ready);
        }
    }

    /// Processes pushed or pulled changes. A member of the log ignores them and takes changes from
    /// the log.
    fn receive_changes(
        &mut self,
        now: Duration,
        from: VmId,
        version: Version,
        changes: Vec<AcceptedChange>,
        outputs: &mut Vec<FeedOutput>,
    ) {
        if let Some(pull) = self.open_pull.take_if(|pull| pull.from == from) {
            self.unanswered_pulls = 0;
            outputs.push(pull.into_output(now, PullOutcome::Answered));
            self.apply_to_copy(&changes, outputs);
            if changes.is_empty() {
                // The peer has no newer changes. Asking it again at once would repeat without end.
                self.newer_peers.remove(&from);
                return;
            }
        }
        if !self.peers.is_member() {
            self.apply_changes(changes, outputs);
        }
        self.record_peer_version(now, from, version, None, outputs);
    }

    /// Applies the changes that follow the last part to the copy, and installs it if that completes
    /// it.
    fn apply_to_copy(&mut self, changes: &[AcceptedChange], outputs: &mut Vec<FeedOutput>) {
        if let Some(copy) = &mut self.copy {
            copy.apply_changes(changes);
        }
        self.install_if_complete(outputs);
    }

    /// Records the version of a peer, requests its withdrawn keys if they differ, and pulls if it
    /// is newer.
    fn record_peer_version(
        &mut self,
        now: Duration,
        vm: VmId,
        version: Version,
        withdrawals: Option<u64>,
        outputs: &mut Vec<FeedOutput>,
    ) {
        let differs = |digest| digest != self.withdrawals.digest();
        if withdrawals.is_some_and(differs) && !self.withdrawals_requested {
            self.withdrawals_requested = true;
            outputs.push(FeedOutput::Send {
                message: FeedMessage::PullWithdrawn { after: None },
                to: vm.clone(),
            });
        }
        if version > self.version {
            self.newer_peers.insert(now, vm, version);
        }
        self.newer_peers.retain(now, self.version);
        self.pull_if_behind(now, outputs);
    }

    /// Puts the copied document in force once it is complete, unless a newer one is in force by
    /// then.
    fn install_if_complete(&mut self, outputs: &mut Vec<FeedOutput>) {
        let Some(copy) = self.copy.take_if(|copy| copy.is_complete()) else {
            return;
        };
        let document = copy.into_document();
        if document.version <= self.version {
            return;
        }
        self.version = document.version;
        self.change_log.reset(self.version);
        self.push_changes(outputs);
        outputs.push(FeedOutput::Install {
            document: Box::new(document),
        });
    }

    /// Applies the changes that follow the version in force. They are pushed to peers first: if
    /// this process ends in between, a version that it has served has also been sent to others.
    fn apply_changes(&mut self, changes: Vec<AcceptedChange>, outputs: &mut Vec<FeedOutput>) {
        let before = self.version;
        let mut applied = Vec::new();
        for change in changes {
            if change.version == self.version + 1 {
                self.version += 1;
                self.change_log.push(change.clone());
                applied.push(FeedOutput::Apply { change });
            }
        }
        if self.version > before {
            self.push_changes(outputs);
        }
        outputs.extend(applied);
    }

    /// Sends a pull to a random newer peer, unless one is open. Members of the log never pull.
    fn pull_if_behind(&mut self, now: Duration, outputs: &mut Vec<FeedOutput>) {
        if self.peers.is_member() || self.open_pull.is_some() {
            return;
        }
        let Some(from) = self.newer_peers.pick(&mut self.rng) else {
            return;
        };
        let message = match &self.copy {
            Some(copy) => copy.next_request(),
            None => FeedMessage::Pull {
                after: self.version,
            },
        };
        self.open_pull = Some(OpenPull {
            from: from.clone(),
            sent_at: now,
        });
        outputs.push(FeedOutput::Send { message, to: from });
    }

    /// Pushes the newest changes to some peers, or only the version if the changes are not kept.
    fn push_changes(&mut self, outputs: &mut Vec<FeedOutput>) {
        const MAX_PUSHED_CHANGES: u64 = 4;
        let after = self
            .version
            .saturating_sub(MAX_PUSHED_CHANGES)
            .max(self.change_log.floor());
        let changes = self.change_log.changes_after(after).unwrap_or_default();
        let message = FeedMessage::Changes {
            changes,
            version: self.version,
        };
        self.send_to_peers(&message, outputs);
    }

    /// Processes a message from a peer, and answers it if it is a request.
    fn receive_message(
        &mut self,
        now: Duration,
        document: &Document,
        from: VmId,
        message: FeedMessage,
        outputs: &mut Vec<FeedOutput>,
    ) {
        let answer = match message {
            FeedMessage::Ask { question } => FeedMessage::Version {
                leading: self.is_leader,
                question,
                version: document.version,
                withdrawals: self.withdrawals.page(None),
            },
            FeedMessage::Changes { changes, version } => {
                return self.receive_changes(now, from, version, changes, outputs);
            }
            FeedMessage::Part { part } => {
                return self.receive_part(now, from, *part, outputs);
            }
            FeedMessage::Pull { after } => self.change_log.answer_pull(document, after),
            FeedMessage::PullPart { cursor } => FeedMessage::part(document, cursor),
            FeedMessage::PullWithdrawn { after } => FeedMessage::Withdrawn {
                withdrawals: self.withdrawals.page(after.as_ref()),
            },
            FeedMessage::Version {
                leading,
                question,
                version,
                withdrawals,
            } => {
                if question == self.question {
                    self.readiness.record_leader_version(leading, version);
                }
                self.add_withdrawals(document, &withdrawals, outputs);
                return self.record_peer_version(now, from, version, None, outputs);
            }
            FeedMessage::Withdrawn { withdrawals } => {
                self.add_withdrawals(document, &withdrawals, outputs);
                let Some(last) = withdrawals.last() else {
                    return;
                };
                if withdrawals.len() < Withdrawals::PAGE_ENTRIES {
                    return;
                }
                let after = Some(last.key.clone());
                FeedMessage::PullWithdrawn { after }
            }
        };
        if let FeedMessage::Part { part } = &answer
            && !self.sent_parts.record_if_due(now, &from, part)
        {
            return;
        }
        outputs.push(FeedOutput::Send {
            message: answer,
            to: from,
        });
    }

    /// Proposes withdrawn keys to the log, if this VM leads it.
    fn propose_withdrawals(&mut self, now: Duration, outputs: &mut Vec<FeedOutput>) {
        if !self.is_leader {
            return;
        }
        let due = self.proposals.take_due(now, &self.withdrawals);
        outputs.extend(due.into_iter().map(|key| FeedOutput::Propose {
            req: ChangeRequest::withdrawal(key),
        }));
    }

    /// Sends a message to random live peers, more of them if it only announces a version.
    fn send_to_peers(&mut self, message: &FeedMessage, outputs: &mut Vec<FeedOutput>) {
        let count = match message {
            FeedMessage::Changes { changes, .. } if changes.is_empty() => Self::ANNOUNCE_FAN_OUT,
            _ => Self::FAN_OUT,
        };
        let to = self
            .peers
            .pick_for_fan_out(count, &mut self.rng)
            .into_iter();
        outputs.extend(to.map(|to| FeedOutput::Send {
            message: message.clone(),
            to,
        }));
    }

    /// Processes a part of a document, whether it answers the open pull or comes late.
    fn receive_part(
        &mut self,
        now: Duration,
        from: VmId,
        part: DocumentPart,
        outputs: &mut Vec<FeedOutput>,
    ) {
        let version = part.version;
        let pull = self.open_pull.take_if(|pull| pull.from == from);
        let is_late = pull.is_none();
        outputs.push(match pull {
            Some(pull) => {
                self.unanswered_pulls = 0;
                pull.into_output(now, PullOutcome::Answered)
            }
            None => FeedOutput::PullEnded {
                end: PullOutcome::Late,
                from: from.clone(),
                waited: None,
            },
        });
        let is_expected = |copy: &DocumentCopy| copy.expects(&part.cursor);
        let continues_copy = self.copy.as_ref().is_some_and(is_expected);
        if continues_copy {
            // Another peer may have been asked for this part meanwhile; its answer is no longer
            // needed.
            self.open_pull = None;
        }
        // A late part is used like any other. If it were dropped, it would be requested again: on a
        // link that carries less than one part within the wait, no copy would ever advance, and the
        // link would stay full.
        let base_version = self
            .copy
            .as_ref()
            .map_or(self.version, DocumentCopy::base_version);
        if is_late && !continues_copy && version <= base_version {
            return;
        }
        if part.cursor == DocumentCursor::default() {
            self.copy = DocumentCopy::start(part);
        } else if let Some(copy) = &mut self.copy {
            copy.add_part(part);
        }
        // A peer older than the first part cannot continue this copy, and asking it for the same
        // part would repeat without end. The copy is dropped, and the next pull starts a new one
        // from the version that its peer has.
        self.copy.take_if(|copy| version < copy.base_version());
        self.install_if_complete(outputs);
        self.record_peer_version(now, from, version, None, outputs);
    }

    /// Handles timeouts and repeats what has not succeeded yet.
    fn tick(&mut self, now: Duration, outputs: &mut Vec<FeedOutput>) {
        if now < self.next_tick {
            return;
        }
        self.next_tick = now + Self::TICK_INTERVAL;
        self.withdrawals_requested = false;
        if !self.is_ready() {
            self.request_versions(outputs);
        }
        let timeout =
            Self::PULL_TIMEOUT * (1 << self.unanswered_pulls.min(Self::MAX_PULL_DOUBLINGS));
        let is_overdue = |pull: &mut OpenPull| now.saturating_sub(pull.sent_at) >= timeout;
        if let Some(pull) = self.open_pull.take_if(is_overdue) {
            self.unanswered_pulls += 1;
            self.newer_peers.remove(&pull.from);
            outputs.push(pull.into_output(now, PullOutcome::TimedOut));
        }
        self.newer_peers.retain(now, self.version);
        self.pull_if_behind(now, outputs);
        self.propose_withdrawals(now, outputs);
    }

    /// Adds withdrawn keys to the set, and passes new ones on to peers.
    fn add_withdrawals(
        &mut self,
        document: &Document,
        withdrawals: &[Withdrawal],
        outputs: &mut Vec<FeedOutput>,
    ) {
        let mut added = Vec::new();
        for withdrawal in withdrawals {
            if self.withdrawals.insert(document, withdrawal) {
                added.push(withdrawal.clone());
                outputs.push(FeedOutput::Withdrawn {
                    key: withdrawal.key.clone(),
                });
            }
        }
        if !added.is_empty() {
            let message = FeedMessage::Withdrawn { withdrawals: added };
            self.send_to_peers(&message, outputs);
        }
    }
}
