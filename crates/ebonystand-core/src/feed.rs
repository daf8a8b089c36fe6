use {super::*, rand::SeedableRng, rand_pcg::Pcg64Mcg};

/// Distribution of the configuration from the members of its log to all VMs.
///
/// A VM that gets a new change passes it on to [`Feed::FAN_OUT`] others, once; whom that misses
/// hears of the version by gossip and pulls. So a change costs a VM the same however many there
/// are. Only the next version is put in force, or a whole newer document: never an older one.
///
/// A VM that starts may have served a newer version before than it holds now. It is not ready
/// until it has caught up with the log's leader, or, where none answers, with whatever peers it
/// reaches within [`Feed::START_WAIT`]: by then what one of them had has reached the others.
#[derive(Clone, Debug)]
pub struct Feed {
    answered: PartsAnswered,
    asked_withdrawn: bool,
    copy: Option<DocumentCopy>,
    leading: bool,
    log: ChangeLog,
    newer: NewerPeers,
    next_tick: Duration,
    peers: FeedPeers,
    proposals: WithdrawalProposals,
    pull: Option<Pull>,
    readiness: Readiness,
    rng: Pcg64Mcg,
    /// Questions in a row that were not answered in time.
    unanswered: u32,
    version: Version,
    withdrawals: Withdrawals,
}

#[derive(Clone, Debug)]
struct Pull {
    from: VmId,
    since: Duration,
}

impl Pull {
    fn ended(self, now: Duration, end: PullEnd) -> FeedOutput {
        FeedOutput::PullEnded {
            end,
            from: self.from,
            waited: Some(now.saturating_sub(self.since)),
        }
    }
}

impl Feed {
    /// Peers that a VM tells of a version that they have to pull. Of four, two in a hundred VMs are
    /// told by none and hear of it by gossip, seconds later.
    pub const ANNOUNCED: usize = 8;
    /// Peers that a VM passes a change on to.
    pub const FAN_OUT: usize = 4;
    /// Wait for a pull's answer.
    pub const PULL_ANSWER: Duration = Duration::from_secs(1);
    /// How often the wait for an answer doubles at most: a copy's part may take longer on a slow link, and
    /// each question puts another one on it.
    const LONGEST_PULL: u32 = 5;
    /// Longest wait of a starting VM for the log's leader.
    pub const START_WAIT: Duration = Duration::from_secs(5);
    /// Time between two ticks.
    pub const TICK: Duration = Duration::from_millis(500);

    /// A VM that starts. `members` are the VMs of the configuration's log, which makes this VM one
    /// of them or not.
    #[must_use]
    pub fn new(own: VmId, members: Vec<VmId>, now: Duration, seed: u64) -> Self {
        Self {
            answered: PartsAnswered::default(),
            asked_withdrawn: false,
            copy: None,
            leading: false,
            log: ChangeLog::default(),
            newer: NewerPeers::default(),
            next_tick: now,
            peers: FeedPeers::new(own, members),
            proposals: WithdrawalProposals::default(),
            pull: None,
            readiness: Readiness::new(now),
            rng: Pcg64Mcg::seed_from_u64(seed),
            unanswered: 0,
            version: 0,
            withdrawals: Withdrawals::default(),
        }
    }

    /// When [`FeedInput::Tick`] is next due.
    #[must_use]
    pub fn deadline(&self) -> Duration {
        self.next_tick
    }

    /// Whether the VM may serve.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.readiness.is_ready()
    }

    /// Sets the VMs of the configuration's log.
    pub fn set_members(&mut self, members: Vec<VmId>) {
        self.peers.set_members(members);
    }

    /// Takes an input. `document` is the one in force, all earlier outputs being carried out.
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
                self.log.push(change);
                self.push(&mut outputs);
            }
            FeedInput::PeerVersion {
                version,
                vm,
                withdrawals,
            } => self.heard(now, vm, version, Some(withdrawals), &mut outputs),
            FeedInput::Leading { leading } => self.leading = leading,
            FeedInput::Message { from, message } => {
                self.receive(now, document, from, message, &mut outputs);
            }
            FeedInput::Peers { far, near } => {
                let first = self.peers.is_empty();
                self.peers.set(far, near);
                if first && !self.is_ready() {
                    self.ask(&mut outputs);
                }
            }
            FeedInput::Tick => self.tick(now, &mut outputs),
            FeedInput::Withdraw { key } => {
                let version = document.version;
                self.withdraw(document, &[Withdrawal { key, version }], &mut outputs);
            }
        }
        self.withdrawals.settle(document);
        if self.log.version() != self.version {
            self.log.restart(self.version);
        }
        self.check_ready(now, &mut outputs);
        outputs
    }

    /// Withdrawn keys that the document does not show yet; asked at each look-up of a key.
    #[must_use]
    pub fn withdrawals(&self) -> &Withdrawals {
        &self.withdrawals
    }

    fn ask(&mut self, outputs: &mut Vec<FeedOutput>) {
        let asked = self.peers.asked(&mut self.rng);
        outputs.extend(asked.into_iter().map(|to| FeedOutput::Send {
            message: FeedMessage::Ask,
            to,
        }));
    }

    fn check_ready(&mut self, now: Duration, outputs: &mut Vec<FeedOutput>) {
        self.newer.retain(now, self.version);
        let has_newer = !self.newer.is_empty();
        if self
            .readiness
            .check(now, self.version, has_newer, self.leading)
        {
            outputs.push(FeedOutput::Ready);
        }
    }

    /// Takes over pushed or pulled changes. A member of the log waits for the log instead.
    fn follow(
        &mut self,
        now: Duration,
        from: VmId,
        version: Version,
        changes: Vec<AcceptedChange>,
        outputs: &mut Vec<FeedOutput>,
    ) {
        if let Some(pull) = self.pull.take_if(|pull| pull.from == from) {
            self.unanswered = 0;
            outputs.push(pull.ended(now, PullEnd::Answered));
            self.follow_copy(&changes, outputs);
            if changes.is_empty() {
                // Nothing came of it: asking the same peer at once would repeat without end.
                self.newer.remove(&from);
                return;
            }
        }
        if !self.peers.is_member() {
            self.make(changes, outputs);
        }
        self.heard(now, from, version, None, outputs);
    }

    fn follow_copy(&mut self, changes: &[AcceptedChange], outputs: &mut Vec<FeedOutput>) {
        if let Some(copy) = &mut self.copy {
            copy.make(changes);
        }
        self.install_if_finished(outputs);
    }

    fn heard(
        &mut self,
        now: Duration,
        vm: VmId,
        version: Version,
        withdrawals: Option<u64>,
        outputs: &mut Vec<FeedOutput>,
    ) {
        let differs = |digest| digest != self.withdrawals.digest();
        if withdrawals.is_some_and(differs) && !self.asked_withdrawn {
            self.asked_withdrawn = true;
            outputs.push(FeedOutput::Send {
                message: FeedMessage::PullWithdrawn { after: None },
                to: vm.clone(),
            });
        }
        if version > self.version {
            self.newer.insert(now, vm, version);
        }
        self.newer.retain(now, self.version);
        self.pull(now, outputs);
    }

    fn install_if_finished(&mut self, outputs: &mut Vec<FeedOutput>) {
        let Some(copy) = self.copy.take_if(|copy| copy.finished()) else {
            return;
        };
        let document = copy.into_document();
        if document.version <= self.version {
            return;
        }
        self.version = document.version;
        self.log.restart(self.version);
        self.push(outputs);
        outputs.push(FeedOutput::Install {
            document: Box::new(document),
        });
    }

    /// Puts in force what follows in sequence. It is passed on first: if this process ends in
    /// between, a VM that served a version is not the only one that ever had it.
    fn make(&mut self, changes: Vec<AcceptedChange>, outputs: &mut Vec<FeedOutput>) {
        let before = self.version;
        let mut made = Vec::new();
        for change in changes {
            if change.version == self.version + 1 {
                self.version += 1;
                self.log.push(change.clone());
                made.push(FeedOutput::Apply { change });
            }
        }
        if self.version > before {
            self.push(outputs);
        }
        outputs.extend(made);
    }

    /// Asks a newer peer for what this VM lacks, one at a time.
    fn pull(&mut self, now: Duration, outputs: &mut Vec<FeedOutput>) {
        if self.peers.is_member() || self.pull.is_some() {
            return;
        }
        let Some(from) = self.newer.pick(&mut self.rng) else {
            return;
        };
        let message = match &self.copy {
            Some(copy) => copy.request(),
            None => FeedMessage::Pull {
                after: self.version,
            },
        };
        self.pull = Some(Pull {
            from: from.clone(),
            since: now,
        });
        outputs.push(FeedOutput::Send { message, to: from });
    }

    /// Passes the newest changes on.
    fn push(&mut self, outputs: &mut Vec<FeedOutput>) {
        const PUSHED: u64 = 4;
        let after = self.version.saturating_sub(PUSHED).max(self.log.floor());
        let changes = self.log.after(after).unwrap_or_default();
        let message = FeedMessage::Changes {
            changes,
            version: self.version,
        };
        self.spread(&message, outputs);
    }

    fn receive(
        &mut self,
        now: Duration,
        document: &Document,
        from: VmId,
        message: FeedMessage,
        outputs: &mut Vec<FeedOutput>,
    ) {
        let answer = match message {
            FeedMessage::Ask => FeedMessage::Version {
                leading: self.leading,
                version: document.version,
                withdrawals: self.withdrawals.page(None),
            },
            FeedMessage::Changes { changes, version } => {
                return self.follow(now, from, version, changes, outputs);
            }
            FeedMessage::Part { part } => {
                return self.take_part(now, from, *part, outputs);
            }
            FeedMessage::Pull { after } => self.log.answer(document, after),
            FeedMessage::PullPart { cursor } => FeedMessage::part(document, cursor),
            FeedMessage::PullWithdrawn { after } => FeedMessage::Withdrawn {
                withdrawals: self.withdrawals.page(after.as_ref()),
            },
            FeedMessage::Version {
                leading,
                version,
                withdrawals,
            } => {
                self.readiness.heard(leading, version);
                self.withdraw(document, &withdrawals, outputs);
                return self.heard(now, from, version, None, outputs);
            }
            FeedMessage::Withdrawn { withdrawals } => {
                self.withdraw(document, &withdrawals, outputs);
                let Some(last) = withdrawals.last() else {
                    return;
                };
                if withdrawals.len() < Withdrawals::PAGE {
                    return;
                }
                let after = Some(last.key.clone());
                FeedMessage::PullWithdrawn { after }
            }
        };
        if let FeedMessage::Part { part } = &answer
            && !self.answered.admits(now, &from, part)
        {
            return;
        }
        outputs.push(FeedOutput::Send {
            message: answer,
            to: from,
        });
    }

    fn propose(&mut self, now: Duration, outputs: &mut Vec<FeedOutput>) {
        if !self.leading {
            return;
        }
        let due = self.proposals.due(now, &self.withdrawals);
        outputs.extend(due.into_iter().map(|key| FeedOutput::Propose {
            req: ChangeRequest::withdrawal(key),
        }));
    }

    fn spread(&mut self, message: &FeedMessage, outputs: &mut Vec<FeedOutput>) {
        let count = match message {
            FeedMessage::Changes { changes, .. } if changes.is_empty() => Self::ANNOUNCED,
            _ => Self::FAN_OUT,
        };
        let to = self.peers.fan_out(count, &mut self.rng).into_iter();
        outputs.extend(to.map(|to| FeedOutput::Send {
            message: message.clone(),
            to,
        }));
    }

    fn take_part(
        &mut self,
        now: Duration,
        from: VmId,
        part: DocumentPart,
        outputs: &mut Vec<FeedOutput>,
    ) {
        let version = part.version;
        let pull = self.pull.take_if(|pull| pull.from == from);
        let is_late = pull.is_none();
        outputs.push(match pull {
            Some(pull) => {
                self.unanswered = 0;
                pull.ended(now, PullEnd::Answered)
            }
            None => FeedOutput::PullEnded {
                end: PullEnd::Late,
                from: from.clone(),
                waited: None,
            },
        });
        let is_awaited = |copy: &DocumentCopy| copy.awaits(&part.cursor);
        let goes_on = self.copy.as_ref().is_some_and(is_awaited);
        if goes_on {
            // Whoever else was asked for this part need not answer.
            self.pull = None;
        }
        // A late answer is taken like any other. Thrown away, it would be asked for again: on a
        // link that carries less than a copy in the wait for it, no copy would ever be taken, and
        // the link would stay full.
        let since = self.copy.as_ref().map_or(self.version, DocumentCopy::since);
        if is_late && !goes_on && version <= since {
            return;
        }
        if part.cursor == DocumentCursor::default() {
            self.copy = DocumentCopy::start(part);
        } else if let Some(copy) = &mut self.copy {
            copy.put(part);
        }
        // A sender that is older than the first part has nothing for this copy: asking it again for
        // the same part would repeat without end. It starts anew with what there is.
        self.copy.take_if(|copy| version < copy.since());
        self.install_if_finished(outputs);
        self.heard(now, from, version, None, outputs);
    }

    fn tick(&mut self, now: Duration, outputs: &mut Vec<FeedOutput>) {
        if now < self.next_tick {
            return;
        }
        self.next_tick = now + Self::TICK;
        self.asked_withdrawn = false;
        if !self.is_ready() {
            self.ask(outputs);
        }
        let patience = Self::PULL_ANSWER * (1 << self.unanswered.min(Self::LONGEST_PULL));
        let late = |pull: &mut Pull| now.saturating_sub(pull.since) >= patience;
        if let Some(pull) = self.pull.take_if(late) {
            self.unanswered += 1;
            self.newer.remove(&pull.from);
            outputs.push(pull.ended(now, PullEnd::TimedOut));
        }
        self.newer.retain(now, self.version);
        self.pull(now, outputs);
        self.propose(now, outputs);
    }

    fn withdraw(
        &mut self,
        document: &Document,
        withdrawals: &[Withdrawal],
        outputs: &mut Vec<FeedOutput>,
    ) {
        let mut fresh = Vec::new();
        for withdrawal in withdrawals {
            if self.withdrawals.insert(document, withdrawal) {
                fresh.push(withdrawal.clone());
                outputs.push(FeedOutput::Withdrawn {
                    key: withdrawal.key.clone(),
                });
            }
        }
        if !fresh.is_empty() {
            let message = FeedMessage::Withdrawn { withdrawals: fresh };
            self.spread(&message, outputs);
        }
    }
}
