//! State of a replica of a Raft group. It performs no I/O.
//!
//! A driver passes each event to [`Replica::step`] and carries out the returned outputs in order.
//! It passes [`ReplicaInput::Tick`] once [`Replica::deadline`] has come.
//!
//! - **Durability.** `Persist` returns records. Once they are synced, the driver passes `Persisted`
//!   with the same token. Until then the replica itself holds back each message that promises these
//!   records, and doesn't count its own entries towards a majority.
//! - **Start.** If the data folder holds a snapshot, the first step returns `InstallSnapshot`, and
//!   commits follow after the snapshot. Each index is committed once per start.
//! - **Founding.** A replica with an empty log asks the founding VMs to admit it. The first of them
//!   by name founds the group once all others have answered that their logs are empty too. An
//!   existing group admits the replica as a learner, promotes it once it has caught up, and then
//!   removes the previous member on that VM.
//! - **Leader lease.** [`Replica::holds_lease`] tells whether a leader may act on its own. The
//!   lease starts when a heartbeat that a majority answers is sent. It is shorter, by the clock
//!   drift, than the time during which these voters refuse every other candidate. Clocks must run
//!   on while a process is stopped; a VM that is paused together with its clock isn't covered.
//! - **Fencing.** The term serves as the fencing token.

use super::*;

/// A replica of a Raft group.
#[derive(Debug)]
pub struct Replica {
    /// Read barriers that wait until the leader holds its lease.
    pub(crate) read_barriers: VecDeque<ProposalId>,
    pub(crate) cfg: ReplicaConfig,
    /// Index of the last committed entry.
    pub(crate) commit_index: LogIndex,
    /// Founding VMs that have answered that their logs are empty, with their replicas.
    pub(crate) empty_log_vms: BTreeMap<VmId, MemberId>,
    /// Whether entries were appended in this step and must be sent at its end.
    pub(crate) has_unsent_entries: bool,
    pub(crate) hard_state: HardState,
    /// When a message of a leader was last received, or the start of this replica.
    pub(crate) leader_heard_at: Duration,
    /// Messages of this step that promise records which may not be synced yet.
    pub(crate) deferred: Vec<DeferredMessage>,
    /// Snapshot that is being received.
    pub(crate) incoming_snapshot: Option<SnapshotAssembly>,
    pub(crate) leader: Option<MemberId>,
    /// When this replica was last elected.
    pub(crate) elected_at: Duration,
    pub(crate) log: ReplicaLog,
    pub(crate) now: Duration,
    pub(crate) outputs: Vec<ReplicaOutput>,
    /// Progress of the other members, while this replica leads.
    pub(crate) progress: BTreeMap<MemberId, ReplicaProgress>,
    /// Proposals that wait for their entries to be committed, by index.
    pub(crate) proposals: BTreeMap<LogIndex, ProposalId>,
    /// Records produced in the current step, which form one batch at its end.
    pub(crate) records: Vec<LogRecord>,
    pub(crate) rng: rand_pcg::Pcg64Mcg,
    pub(crate) role: ReplicaRole,
    pub(crate) snapshot: Option<LogSnapshot>,
    /// Index of the last snapshot that was requested, installed or loaded.
    pub(crate) snapshot_requested_index: LogIndex,
    /// Index of the last entry that is synced on this replica. Only valid while it leads: its own
    /// vote was synced after every entry that a former leader replaced, so the log only grows from
    /// there.
    pub(crate) synced_index: LogIndex,
    /// Index of the first entry that this replica appended as the leader of its term.
    pub(crate) term_start_index: LogIndex,
    /// When the replica must act next: heartbeat, election or request to join.
    pub(crate) next_tick: Duration,
    /// Token of the last batch of records.
    pub(crate) last_token: PersistToken,
    /// Batches passed to the storage and not yet reported as synced, oldest first.
    pub(crate) unsynced_batches: VecDeque<UnsyncedBatch>,
    /// Members that have granted their vote or pre-vote in the current election.
    pub(crate) votes: BTreeSet<MemberId>,
}

impl Replica {
    /// Returns when the next [`ReplicaInput::Tick`] is due.
    #[must_use]
    pub fn deadline(&self) -> Duration {
        self.next_tick
    }

    /// Returns whether this replica may act as the leader at `now`; see [`Self::lease_until`].
    #[must_use]
    pub fn holds_lease(&self, now: Duration) -> bool {
        self.lease_until().is_some_and(|until| now < until)
    }

    /// Returns the identity of this replica, which accompanies each message that it sends.
    #[must_use]
    pub fn id(&self) -> &MemberId {
        &self.cfg.id
    }

    /// Returns the leader of the term, if it is known.
    #[must_use]
    pub fn leader(&self) -> Option<&MemberId> {
        self.leader.as_ref()
    }

    /// Returns the time until which this replica may act as the leader: it has committed an entry
    /// of its own term, and no other replica can become the leader before then.
    ///
    /// Callers must compare this time with a clock read just before they act. A remembered result
    /// of [`Self::holds_lease`] outlives the lease if the process is stopped in between: when it
    /// resumes, the former leader would act beside its successor.
    #[must_use]
    pub fn lease_until(&self) -> Option<Duration> {
        if self.role != ReplicaRole::Leader || self.commit_index < self.term_start_index {
            return None;
        }
        self.last_quorum_contact()
            .map(|sent| sent + self.cfg.lease_duration())
    }

    /// Creates a replica from the state in the data folder. `seed` makes election timeouts differ
    /// between replicas.
    #[must_use]
    pub fn new(cfg: ReplicaConfig, state: DurableState, now: Duration, seed: u64) -> Self {
        let mut log = ReplicaLog::default();
        let mut outputs = Vec::new();
        if let Some(snapshot) = &state.snapshot {
            log.install_snapshot(snapshot);
            outputs.push(ReplicaOutput::InstallSnapshot {
                snapshot: snapshot.clone(),
            });
        }
        state.entries.into_iter().for_each(|entry| log.push(entry));
        let commit_index = state.snapshot.as_ref().map_or(0, |s| s.position.index);
        let synced_index = log.last_position().index;
        let mut replica = Self {
            read_barriers: VecDeque::new(),
            cfg,
            commit_index,
            empty_log_vms: BTreeMap::new(),
            has_unsent_entries: false,
            hard_state: state.hard_state,
            // A voter that answered a heartbeat and restarted has forgotten it. If it voted at
            // once, a second leader could be elected while the first still holds its lease. A start
            // therefore counts as having heard a leader: the wait outlasts every lease.
            leader_heard_at: now,
            deferred: Vec::new(),
            incoming_snapshot: None,
            leader: None,
            elected_at: now,
            log,
            now,
            outputs,
            progress: BTreeMap::new(),
            proposals: BTreeMap::new(),
            records: Vec::new(),
            rng: rand::SeedableRng::seed_from_u64(seed),
            role: ReplicaRole::Follower,
            snapshot: state.snapshot,
            snapshot_requested_index: commit_index,
            synced_index,
            term_start_index: 0,
            next_tick: now,
            last_token: 0,
            unsynced_batches: VecDeque::new(),
            votes: BTreeSet::new(),
        };
        if !replica.log.is_empty() {
            replica.reset_election_timer();
        }
        replica
    }

    /// Returns the replica's state for status pages and metrics.
    #[must_use]
    pub fn status(&self) -> ReplicaStatus {
        ReplicaStatus {
            commit_index: self.commit_index,
            id: self.cfg.id.clone(),
            last_position: self.log.last_position(),
            leader: self.leader.clone(),
            lease_until: self.lease_until(),
            members: self.log.members().clone(),
            role: self.role,
            snapshot_index: self.snapshot_index(),
            term: self.hard_state.term,
        }
    }

    /// Handles one input at `now` and returns the outputs to carry out. `now` must never decrease.
    pub fn step(&mut self, now: Duration, input: ReplicaInput) -> Vec<ReplicaOutput> {
        self.step_all(now, [input])
    }

    /// Handles inputs that arrived together. Their records form one batch, and their entries go to
    /// each other replica in one message.
    pub fn step_all(
        &mut self,
        now: Duration,
        inputs: impl IntoIterator<Item = ReplicaInput>,
    ) -> Vec<ReplicaOutput> {
        self.now = self.now.max(now);
        self.check_quorum();
        inputs
            .into_iter()
            .for_each(|input| self.handle_input(input));
        self.advance_as_leader();
        self.finish_step()
    }

    /// Appends an entry to the log and to the records of this step.
    pub(crate) fn append_entry(&mut self, entry: LogEntry) {
        self.records.push(LogRecord::Append(entry.clone()));
        self.log.push(entry);
    }

    /// Commits the entries up to and including `index`, as far as the log has them.
    pub(crate) fn commit_to(&mut self, index: LogIndex) {
        while self.commit_index < index {
            let Some(entry) = self.log.entry(self.commit_index + 1).cloned() else {
                return;
            };
            self.commit_index += 1;
            self.outputs.push(ReplicaOutput::Commit { entry });
            if let Some(id) = self.proposals.remove(&self.commit_index) {
                let result = Ok(self.commit_index);
                self.outputs
                    .push(ReplicaOutput::ProposalDone { id, result });
            }
        }
    }

    /// Sends a message without waiting for the disk, since it promises no unsynced record.
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

    /// Sends a message once every record up to this step is synced. A reply sent earlier would
    /// count towards a majority, and a crash could then lose entries that the majority is believed
    /// to hold.
    pub(crate) fn send_when_synced(&mut self, to: &MemberId, body: ReplicaMessageBody) {
        self.deferred.push(DeferredMessage {
            body,
            term: self.hard_state.term,
            to: to.clone(),
        });
    }

    pub(crate) fn set_role(&mut self, role: ReplicaRole) {
        if self.role != role {
            let term = self.hard_state.term;
            self.outputs.push(ReplicaOutput::RoleChanged { role, term });
        }
        self.role = role;
    }

    pub(crate) fn snapshot_index(&self) -> LogIndex {
        self.snapshot.as_ref().map_or(0, |s| s.position.index)
    }

    /// Stores a snapshot that this replica has taken or received.
    pub(crate) fn store_snapshot(&mut self, snapshot: LogSnapshot) {
        self.records.push(LogRecord::Snapshot(snapshot.clone()));
        self.snapshot = Some(snapshot);
    }

    fn handle_input(&mut self, input: ReplicaInput) {
        match input {
            ReplicaInput::ChangeMembers { change, id } => self.handle_change_members(id, &change),
            ReplicaInput::Message { from, message } => self.handle_message(&from, message),
            ReplicaInput::Persisted { token } => self.handle_persisted(token),
            ReplicaInput::Propose { command, id } => self.handle_propose(id, command),
            ReplicaInput::ReadBarrier { id } => self.handle_read_barrier(id),
            ReplicaInput::SnapshotTaken { index, state } => {
                self.handle_snapshot_taken(index, state)
            }
            ReplicaInput::Tick => self.handle_tick(),
        }
    }

    /// Requests a snapshot after enough commits. Must run at the end of a step: the records of the
    /// entries then precede the snapshot's record even if the driver answers at once. On disk, an
    /// entry written after the snapshot that contains it would look like a gap.
    fn request_snapshot(&mut self) {
        if self.commit_index >= self.snapshot_requested_index + self.cfg.snapshot_threshold {
            self.snapshot_requested_index = self.commit_index;
            self.outputs.push(ReplicaOutput::TakeSnapshot {
                index: self.commit_index,
            });
        }
    }

    /// Ends a step: returns its outputs, with its records as one batch. The messages that the step
    /// held back wait until the newest unsynced batch is synced, and are sent at once if there is
    /// none.
    fn finish_step(&mut self) -> Vec<ReplicaOutput> {
        let mut held = std::mem::take(&mut self.deferred);
        if !self.records.is_empty() {
            self.last_token += 1;
            self.unsynced_batches.push_back(UnsyncedBatch {
                deferred: Vec::new(),
                last_index: self.log.last_position().index,
                token: self.last_token,
            });
            self.outputs.push(ReplicaOutput::Persist {
                records: std::mem::take(&mut self.records),
                token: self.last_token,
            });
        }
        match self.unsynced_batches.back_mut() {
            Some(batch) => batch.deferred.append(&mut held),
            None => held.into_iter().for_each(|held| self.send_deferred(held)),
        }
        self.request_snapshot();
        std::mem::take(&mut self.outputs)
    }

    /// Marks batches as synced and sends the messages that waited for them.
    fn handle_persisted(&mut self, token: PersistToken) {
        while self
            .unsynced_batches
            .front()
            .is_some_and(|batch| batch.token <= token)
        {
            let Some(batch) = self.unsynced_batches.pop_front() else {
                return;
            };
            self.synced_index = batch.last_index;
            batch
                .deferred
                .into_iter()
                .for_each(|held| self.send_deferred(held));
        }
    }

    /// Handles a message unless it is meant for another incarnation of this VM.
    fn handle_message(&mut self, from: &MemberId, message: ReplicaMessage) {
        if message.to.is_some_and(|to| to != self.cfg.id.incarnation) || *from == self.cfg.id {
            return;
        }
        self.handle_body(from, message.term, message.body);
    }

    /// Sends a message after the records that it promises were synced. This replica's vote for
    /// itself is processed directly, without the network.
    fn send_deferred(&mut self, held: DeferredMessage) {
        if held.to == self.cfg.id {
            self.handle_body(&held.to, held.term, held.body);
        } else {
            self.send(&held.to, held.term, held.body);
        }
    }

    /// Stores a snapshot of the state machine and drops entries that it makes unnecessary.
    fn handle_snapshot_taken(&mut self, index: LogIndex, state: Bytes) {
        let Some(term) = self.log.term_at(index) else {
            return;
        };
        if index > self.commit_index || index <= self.snapshot_index() {
            return;
        }
        let members = self.log.members_at(index);
        self.log.compact_members(index, members.clone());
        // Entries are kept for followers that are slightly behind, which then don't need the whole
        // snapshot.
        self.log
            .compact(index.saturating_sub(self.cfg.snapshot_threshold / 2));
        self.store_snapshot(LogSnapshot {
            members,
            position: LogPosition { index, term },
            state,
        });
    }

    fn handle_body(&mut self, from: &MemberId, term: Term, body: ReplicaMessageBody) {
        use ReplicaMessageBody as Body;
        match body {
            Body::Append {
                commit,
                entries,
                previous,
                sent,
            } => self.handle_append(from, term, commit, entries, previous, sent),
            Body::AppendReply { outcome, sent } => {
                self.handle_append_reply(from, term, outcome, sent)
            }
            Body::Blank => self.handle_empty_log_reply(from),
            Body::Join => self.handle_join(from),
            Body::Redirect { leader } => self.handle_redirect(leader),
            Body::SnapshotChunk { .. } => self.handle_snapshot_chunk(from, term, body),
            Body::SnapshotReply {
                position,
                received,
                sent,
            } => self.handle_snapshot_reply(from, term, position, received, sent),
            Body::Vote { last, pre } => self.handle_vote(from, term, last, pre),
            Body::VoteReply { granted, pre } => self.handle_vote_reply(from, term, granted, pre),
        }
    }

    /// Sends heartbeats, starts an election or asks to join, if that is due.
    fn handle_tick(&mut self) {
        if self.now < self.next_tick {
            return;
        }
        match self.role {
            ReplicaRole::Leader => self.send_heartbeats(),
            _ if self.log.is_empty() => self.request_join(),
            _ => self.start_pre_vote(),
        }
    }
}
