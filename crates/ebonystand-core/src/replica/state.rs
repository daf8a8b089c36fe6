//! A replica of a replicated log: elections, commits, snapshots and members, without I/O.
//!
//! How it is driven: [`Replica::step`] takes what happened and returns what to do, in order. At
//! least [`ReplicaInput::Tick`] is due at [`Replica::deadline`].
//!
//! - **Durability.** `Persist` hands out records; when they are synced, `Persisted` with the same
//!   token is due. The replica itself holds back each message that promises them until then, and
//!   counts its own entries towards a majority only then.
//! - **Start.** If the folder held a snapshot, the first step returns `InstallSnapshot`; commits
//!   follow behind it. Each index is committed once per start.
//! - **Founding.** A replica with an empty log asks the configured VMs to take it in. The first of
//!   them by name founds the group once all others have answered that their logs are empty too.
//!   A group that exists answers by taking it in as a learner, and promotes it once it has caught
//!   up; then its predecessor on that VM leaves.
//! - **Authority.** [`Replica::holds_lease`] says whether a leader may act by itself. The lease
//!   counts from the sending of a heartbeat that a majority answered, and is shorter by the clock
//!   drift than the time for which these voters refuse every other candidate. Clocks must run on
//!   while a process is stopped; a VM that is paused together with its clock is not covered.
//! - **Fencing.** The term serves as the fencing number.

use super::*;

/// A replica of a replicated log.
#[derive(Debug)]
pub struct Replica {
    pub(crate) barriers: VecDeque<ProposalId>,
    pub(crate) cfg: ReplicaConfig,
    pub(crate) commit: LogIndex,
    /// VMs that answered that their logs are empty.
    pub(crate) founders: BTreeMap<VmId, MemberId>,
    /// Entries were appended in this step and are to be sent.
    pub(crate) fresh: bool,
    pub(crate) hard_state: HardState,
    /// When a leader was last heard, or the start.
    pub(crate) heard: Duration,
    /// Messages of this step that promise records which may not be synced.
    pub(crate) held: Vec<HeldMessage>,
    pub(crate) incoming: Option<SnapshotAssembly>,
    pub(crate) leader: Option<MemberId>,
    /// When this replica was elected.
    pub(crate) led_since: Duration,
    pub(crate) log: ReplicaLog,
    pub(crate) now: Duration,
    pub(crate) outputs: Vec<ReplicaOutput>,
    pub(crate) progress: BTreeMap<MemberId, ReplicaProgress>,
    pub(crate) proposals: BTreeMap<LogIndex, ProposalId>,
    /// Records of this step.
    pub(crate) records: Vec<LogRecord>,
    pub(crate) rng: rand_pcg::Pcg64Mcg,
    pub(crate) role: ReplicaRole,
    pub(crate) snapshot: Option<LogSnapshot>,
    pub(crate) snapshot_asked: LogIndex,
    /// Last entry that is synced here. Read while leading only: the own vote was synced after all
    /// that a former leader had replaced, so the log only grows from there.
    pub(crate) synced: LogIndex,
    /// Index of the first entry of this replica's own term as a leader.
    pub(crate) term_start: LogIndex,
    pub(crate) timer: Duration,
    pub(crate) token: PersistToken,
    pub(crate) unsynced: VecDeque<UnsyncedBatch>,
    pub(crate) votes: BTreeSet<MemberId>,
}

impl Replica {
    /// When the next `Tick` is due.
    #[must_use]
    pub fn deadline(&self) -> Duration {
        self.timer
    }

    /// Whether this replica may act as the leader at `now`; see [`Self::lease_until`].
    #[must_use]
    pub fn holds_lease(&self, now: Duration) -> bool {
        self.lease_until().is_some_and(|until| now < until)
    }

    /// This replica's name, which goes with each message that it sends.
    #[must_use]
    pub fn id(&self) -> &MemberId {
        &self.cfg.id
    }

    /// The leader of the term, if it is known.
    #[must_use]
    pub fn leader(&self) -> Option<&MemberId> {
        self.leader.as_ref()
    }

    /// Until when this replica may act as the leader: it has committed an entry of its own term,
    /// and no other replica can lead before then.
    ///
    /// Whoever acts compares this with a clock read just before. A remembered `true` of
    /// [`Self::holds_lease`] outlives the lease when the process is stopped in between, and the
    /// thawed leader would act beside its successor.
    #[must_use]
    pub fn lease_until(&self) -> Option<Duration> {
        if self.role != ReplicaRole::Leader || self.commit < self.term_start {
            return None;
        }
        self.quorum_contact().map(|sent| sent + self.cfg.lease())
    }

    /// Starts from what the data folder holds; `seed` makes the election timeouts differ.
    #[must_use]
    pub fn new(cfg: ReplicaConfig, state: DurableState, now: Duration, seed: u64) -> Self {
        let mut log = ReplicaLog::default();
        let mut outputs = Vec::new();
        if let Some(snapshot) = &state.snapshot {
            log.install(snapshot);
            outputs.push(ReplicaOutput::InstallSnapshot {
                snapshot: snapshot.clone(),
            });
        }
        state.entries.into_iter().for_each(|entry| log.push(entry));
        let commit = state.snapshot.as_ref().map_or(0, |s| s.position.index);
        let synced = log.last().index;
        let mut replica = Self {
            barriers: VecDeque::new(),
            cfg,
            commit,
            founders: BTreeMap::new(),
            fresh: false,
            hard_state: state.hard_state,
            // A voter that answered a heartbeat and restarted has forgotten that it did. If it
            // voted at once, a second leader could arise while the first still holds its lease.
            // So a start counts as having heard a leader: the wait outlasts every lease.
            heard: now,
            held: Vec::new(),
            incoming: None,
            leader: None,
            led_since: now,
            log,
            now,
            outputs,
            progress: BTreeMap::new(),
            proposals: BTreeMap::new(),
            records: Vec::new(),
            rng: rand::SeedableRng::seed_from_u64(seed),
            role: ReplicaRole::Follower,
            snapshot: state.snapshot,
            snapshot_asked: commit,
            synced,
            term_start: 0,
            timer: now,
            token: 0,
            unsynced: VecDeque::new(),
            votes: BTreeSet::new(),
        };
        if !replica.log.is_blank() {
            replica.reset_election_timer();
        }
        replica
    }

    /// What the replica looks like.
    #[must_use]
    pub fn status(&self) -> ReplicaStatus {
        ReplicaStatus {
            commit: self.commit,
            id: self.cfg.id.clone(),
            last: self.log.last(),
            leader: self.leader.clone(),
            lease_until: self.lease_until(),
            members: self.log.members().clone(),
            role: self.role,
            snapshot: self.snapshot_index(),
            term: self.hard_state.term,
        }
    }

    /// Takes one input at `now` and returns what to do. `now` never goes back.
    pub fn step(&mut self, now: Duration, input: ReplicaInput) -> Vec<ReplicaOutput> {
        self.step_all(now, [input])
    }

    /// Takes inputs that came together: their records make one batch, and their entries go to
    /// each other replica in one message.
    pub fn step_all(
        &mut self,
        now: Duration,
        inputs: impl IntoIterator<Item = ReplicaInput>,
    ) -> Vec<ReplicaOutput> {
        self.now = self.now.max(now);
        self.check_quorum();
        inputs.into_iter().for_each(|input| self.accept(input));
        self.lead_on();
        self.finish()
    }

    pub(crate) fn append_record(&mut self, entry: LogEntry) {
        self.records.push(LogRecord::Append(entry.clone()));
        self.log.push(entry);
    }

    /// Commits all up to `index`.
    pub(crate) fn commit_to(&mut self, index: LogIndex) {
        while self.commit < index {
            let Some(entry) = self.log.entry(self.commit + 1).cloned() else {
                return;
            };
            self.commit += 1;
            self.outputs.push(ReplicaOutput::Commit { entry });
            if let Some(id) = self.proposals.remove(&self.commit) {
                let result = Ok(self.commit);
                self.outputs.push(ReplicaOutput::Proposed { id, result });
            }
        }
    }

    /// Sends at once: nothing that is promised needs the disk.
    pub(crate) fn send(&mut self, to: &MemberId, term: Term, body: ReplicaMessageBody) {
        self.outputs.push(ReplicaOutput::Send {
            message: ReplicaMessage {
                body,
                term,
                to: Some(to.incarnation),
            },
            to: to.vm.clone(),
        });
    }

    /// Sends once every record up to this step is synced. An answer that went out earlier would
    /// count towards a majority, and a crash would then lose what the majority holds.
    pub(crate) fn send_synced(&mut self, to: &MemberId, body: ReplicaMessageBody) {
        self.held.push(HeldMessage {
            body,
            term: self.hard_state.term,
            to: to.clone(),
        });
    }

    pub(crate) fn set_role(&mut self, role: ReplicaRole) {
        if self.role != role {
            let term = self.hard_state.term;
            self.outputs.push(ReplicaOutput::Role { role, term });
        }
        self.role = role;
    }

    pub(crate) fn snapshot_index(&self) -> LogIndex {
        self.snapshot.as_ref().map_or(0, |s| s.position.index)
    }

    /// Takes a snapshot in, own or received.
    pub(crate) fn store_snapshot(&mut self, snapshot: LogSnapshot) {
        self.records.push(LogRecord::Snapshot(snapshot.clone()));
        self.snapshot = Some(snapshot);
    }

    fn accept(&mut self, input: ReplicaInput) {
        match input {
            ReplicaInput::ChangeMembers { change, id } => self.change_members(id, &change),
            ReplicaInput::Message { from, message } => self.receive(&from, message),
            ReplicaInput::Persisted { token } => self.persisted(token),
            ReplicaInput::Propose { command, id } => self.propose(id, command),
            ReplicaInput::ReadBarrier { id } => self.read_barrier(id),
            ReplicaInput::SnapshotTaken { index, state } => self.snapshot_taken(index, state),
            ReplicaInput::Tick => self.tick(),
        }
    }

    /// Asks last, so that the records of the entries are handed out before the snapshot's, also
    /// when the answer comes at once. On disk an entry behind its own snapshot would be a gap.
    fn ask_for_snapshot(&mut self) {
        if self.commit >= self.snapshot_asked + self.cfg.snapshot_threshold {
            self.snapshot_asked = self.commit;
            self.outputs
                .push(ReplicaOutput::TakeSnapshot { index: self.commit });
        }
    }

    fn finish(&mut self) -> Vec<ReplicaOutput> {
        let mut held = std::mem::take(&mut self.held);
        if !self.records.is_empty() {
            self.token += 1;
            self.unsynced.push_back(UnsyncedBatch {
                held: Vec::new(),
                last: self.log.last().index,
                token: self.token,
            });
            self.outputs.push(ReplicaOutput::Persist {
                records: std::mem::take(&mut self.records),
                token: self.token,
            });
        }
        match self.unsynced.back_mut() {
            Some(batch) => batch.held.append(&mut held),
            None => held.into_iter().for_each(|held| self.release(held)),
        }
        self.ask_for_snapshot();
        std::mem::take(&mut self.outputs)
    }

    fn persisted(&mut self, token: PersistToken) {
        while self
            .unsynced
            .front()
            .is_some_and(|batch| batch.token <= token)
        {
            let Some(batch) = self.unsynced.pop_front() else {
                return;
            };
            self.synced = batch.last;
            batch.held.into_iter().for_each(|held| self.release(held));
        }
    }

    fn receive(&mut self, from: &MemberId, message: ReplicaMessage) {
        if message.to.is_some_and(|to| to != self.cfg.id.incarnation) || *from == self.cfg.id {
            return;
        }
        self.take(from, message.term, message.body);
    }

    /// Sends a message whose records are synced; the own vote goes straight back in.
    fn release(&mut self, held: HeldMessage) {
        if held.to == self.cfg.id {
            self.take(&held.to, held.term, held.body);
        } else {
            self.send(&held.to, held.term, held.body);
        }
    }

    fn snapshot_taken(&mut self, index: LogIndex, state: Bytes) {
        let Some(term) = self.log.term(index) else {
            return;
        };
        if index > self.commit || index <= self.snapshot_index() {
            return;
        }
        let members = self.log.members_at(index);
        self.log.settle_members(index, members.clone());
        // Followers that are a little behind get entries, not the whole state.
        self.log
            .compact(index.saturating_sub(self.cfg.snapshot_threshold / 2));
        self.store_snapshot(LogSnapshot {
            members,
            position: LogPosition { index, term },
            state,
        });
    }

    fn take(&mut self, from: &MemberId, term: Term, body: ReplicaMessageBody) {
        use ReplicaMessageBody as Body;
        match body {
            Body::Append {
                commit,
                entries,
                previous,
                sent,
            } => self.append(from, term, commit, entries, previous, sent),
            Body::AppendReply { outcome, sent } => self.append_reply(from, term, outcome, sent),
            Body::Blank => self.blank_reply(from),
            Body::Join => self.join(from),
            Body::Redirect { leader } => self.redirected(leader),
            Body::SnapshotChunk { .. } => self.snapshot_chunk(from, term, body),
            Body::SnapshotReply {
                position,
                received,
                sent,
            } => self.snapshot_reply(from, term, position, received, sent),
            Body::Vote { last, pre } => self.vote(from, term, last, pre),
            Body::VoteReply { granted, pre } => self.vote_reply(from, term, granted, pre),
        }
    }

    fn tick(&mut self) {
        if self.now < self.timer {
            return;
        }
        match self.role {
            ReplicaRole::Leader => self.heartbeat(),
            _ if self.log.is_blank() => self.ask_to_join(),
            _ => self.ask_for_votes(),
        }
    }
}
