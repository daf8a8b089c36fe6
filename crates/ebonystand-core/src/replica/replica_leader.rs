//! Leader: replication, commits, linearizable reads and the lease.

use super::*;

impl Replica {
    /// Maximum size of the commands in one message, in bytes.
    const MAX_APPEND_BYTES: usize = 256 * 1024;

    /// Appends an entry in the leader's term. The entry goes to the other replicas when the step
    /// ends, while the local disk still writes it.
    pub(crate) fn append_own_entry(&mut self, payload: LogPayload) -> LogIndex {
        let position = LogPosition {
            index: self.log.last_position().index + 1,
            term: self.hard_state.term,
        };
        self.append_entry(LogEntry { payload, position });
        self.has_unsent_entries = true;
        position.index
    }

    /// Updates a replica's progress from its answer and sends the entries that it still lacks.
    pub(crate) fn handle_append_reply(
        &mut self,
        from: &MemberId,
        term: Term,
        outcome: AppendOutcome,
        sent: Duration,
    ) {
        let now = self.now;
        let Some(progress) = self.record_contact(from, term, sent) else {
            return;
        };
        match outcome {
            AppendOutcome::Matched { index } => progress.record_match(index),
            AppendOutcome::Mismatch { .. } if progress.transfer.is_some() => return,
            AppendOutcome::Mismatch { hint } => {
                if !progress.record_mismatch(hint, sent, now) {
                    return;
                }
            }
        }
        let is_behind = progress.next_index <= self.log.last_position().index;
        if is_behind {
            self.replicate(&from.clone());
        }
    }

    /// Steps down if no majority has answered for an election timeout. Otherwise a leader that is
    /// partitioned off, or that resumes after a long freeze, would take proposals that it can never
    /// commit.
    pub(crate) fn check_quorum(&mut self) {
        if self.role != ReplicaRole::Leader {
            return;
        }
        let last_heard = self.last_quorum_contact().unwrap_or_default();
        if self.now >= last_heard.max(self.elected_at) + self.cfg.election_timeout {
            self.become_follower(self.hard_state.term);
            self.leader = None;
            self.reset_election_timer();
        }
    }

    /// Sends each other replica the next entries or snapshot chunk that it lacks, or else a
    /// heartbeat, and schedules the next heartbeat.
    pub(crate) fn send_heartbeats(&mut self) {
        self.next_tick = self.now + self.cfg.heartbeat_interval;
        let peers: Vec<_> = self.progress.keys().cloned().collect();
        peers.iter().for_each(|peer| self.replicate(peer));
    }

    /// Completes a step of the leader: commits entries, answers reads, advances membership and
    /// sends new entries.
    pub(crate) fn advance_as_leader(&mut self) {
        if self.role != ReplicaRole::Leader {
            return;
        }
        let old_commit_index = self.commit_index;
        self.advance_commit();
        if self.holds_lease(self.now) {
            self.answer_read_barriers();
        }
        self.advance_membership();
        let has_committed = self.commit_index > old_commit_index;
        let has_unsent_entries = std::mem::take(&mut self.has_unsent_entries);
        let peers: Vec<_> = self.progress.keys().cloned().collect();
        for peer in &peers {
            if has_committed {
                self.replicate(peer);
            } else if has_unsent_entries {
                self.replicate_if_window_open(peer);
            }
        }
    }

    pub(crate) fn not_leader_error(&self) -> ProposalError {
        ProposalError::NotLeader {
            leader: self.leader.clone(),
        }
    }

    /// Appends a proposed command, or fails the proposal if this replica is not the leader.
    pub(crate) fn handle_propose(&mut self, id: ProposalId, command: Bytes) {
        if self.role != ReplicaRole::Leader {
            let result = Err(self.not_leader_error());
            self.outputs
                .push(ReplicaOutput::ProposalDone { id, result });
            return;
        }
        let index = self.append_own_entry(LogPayload::Command(command));
        self.proposals.insert(index, id);
    }

    /// Returns the newest time such that a majority has answered a message sent at that time or
    /// later.
    ///
    /// The lease counts from this time of sending. Each of these voters received the message later
    /// and refuses other candidates for an election timeout from then, which is longer than the
    /// lease.
    pub(crate) fn last_quorum_contact(&self) -> Option<Duration> {
        let members = self.log.members();
        let mut contacts: Vec<_> = members
            .voters
            .iter()
            .map(|voter| {
                if *voter == self.cfg.id {
                    return Some(self.now);
                }
                self.progress.get(voter).and_then(|p| p.last_contact)
            })
            .collect();
        contacts.sort_unstable_by(|a, b| b.cmp(a));
        contacts.get(members.quorum() - 1).copied().flatten()
    }

    /// Queues a read until the leader holds its lease, or fails it if this replica is not the
    /// leader.
    pub(crate) fn handle_read_barrier(&mut self, id: ProposalId) {
        if self.role == ReplicaRole::Leader {
            self.read_barriers.push_back(id);
            return;
        }
        let result = Err(self.not_leader_error());
        self.outputs
            .push(ReplicaOutput::ReadBarrierDone { id, result });
    }

    /// Sends the next snapshot chunk after the replica has confirmed the previous one.
    pub(crate) fn handle_snapshot_reply(
        &mut self,
        from: &MemberId,
        term: Term,
        position: LogPosition,
        received: u64,
        sent: Duration,
    ) {
        let now = self.now;
        let Some(progress) = self.record_contact(from, term, sent) else {
            return;
        };
        let Some(transfer) = &mut progress.transfer else {
            return;
        };
        if transfer.snapshot.position != position || transfer.offset == received {
            return;
        }
        transfer.offset = received;
        transfer.sent_at = Some(now);
        let chunk = transfer.build_chunk(now);
        self.send(from, term, chunk);
    }

    /// Becomes the leader of the current term and appends an empty entry, so that entries of former
    /// terms can be committed.
    pub(crate) fn become_leader(&mut self) {
        self.set_role(ReplicaRole::Leader);
        self.leader = Some(self.cfg.id.clone());
        self.elected_at = self.now;
        self.progress.clear();
        self.term_start_index = self.log.last_position().index + 1;
        self.append_own_entry(LogPayload::Noop);
        self.update_progress_members();
        self.next_tick = self.now + self.cfg.heartbeat_interval;
    }

    /// Fails the open proposals and reads of a leader that steps down.
    pub(crate) fn clear_leader_state(&mut self) {
        self.progress.clear();
        self.leader = None;
        for (_, id) in std::mem::take(&mut self.proposals) {
            let result = Err(ProposalError::LeadershipLost);
            self.outputs
                .push(ReplicaOutput::ProposalDone { id, result });
        }
        for id in std::mem::take(&mut self.read_barriers) {
            let result = Err(self.not_leader_error());
            self.outputs
                .push(ReplicaOutput::ReadBarrierDone { id, result });
        }
        self.reset_election_timer();
    }

    /// Commits entries that a majority holds, provided that the last of them is of the leader's own
    /// term.
    ///
    /// An entry of an older term may be on a majority and still be overwritten by a leader whose
    /// log ends in a higher term. Once an entry of the current term is on a majority, no such
    /// leader can be elected, and all entries before it are safe as well.
    fn advance_commit(&mut self) {
        let members = self.log.members();
        let mut matched: Vec<_> = members
            .voters
            .iter()
            .map(|voter| self.matched_index(voter))
            .collect();
        matched.sort_unstable_by(|a, b| b.cmp(a));
        let index = matched.get(members.quorum() - 1).copied().unwrap_or(0);
        if index > self.commit_index && self.log.term_at(index) == Some(self.hard_state.term) {
            self.commit_to(index);
            self.step_down_if_removed();
        }
    }

    fn answer_read_barriers(&mut self) {
        for id in std::mem::take(&mut self.read_barriers) {
            let result = Ok(self.commit_index);
            self.outputs
                .push(ReplicaOutput::ReadBarrierDone { id, result });
        }
    }

    /// Records that `from` answered a message sent at `sent`. Returns the sender's progress if this
    /// replica is the leader of `term`.
    fn record_contact(
        &mut self,
        from: &MemberId,
        term: Term,
        sent: Duration,
    ) -> Option<&mut ReplicaProgress> {
        if term > self.hard_state.term {
            self.become_follower(term);
        }
        if self.role != ReplicaRole::Leader || term < self.hard_state.term || sent > self.now {
            return None;
        }
        let progress = self.progress.get_mut(from)?;
        progress.last_contact = progress.last_contact.max(Some(sent));
        Some(progress)
    }

    /// Builds a message with `entries`, which follow the entry at index `previous`.
    fn build_append(&self, previous: LogIndex, entries: Vec<LogEntry>) -> ReplicaMessageBody {
        ReplicaMessageBody::Append {
            commit: self.commit_index,
            entries,
            previous: LogPosition {
                index: previous,
                term: self.log.term_at(previous).unwrap_or(0),
            },
            sent: self.now,
        }
    }

    /// Returns the last index that is known to be durable on `voter`.
    fn matched_index(&self, voter: &MemberId) -> LogIndex {
        if *voter == self.cfg.id {
            return self.synced_index;
        }
        self.progress
            .get(voter)
            .map_or(0, |progress| progress.matched)
    }

    /// Sends `peer` the next entries or snapshot chunk that it lacks, or else a heartbeat.
    fn replicate(&mut self, peer: &MemberId) {
        let Some(progress) = self.progress.get_mut(peer) else {
            return;
        };
        if progress.transfer.is_none() && progress.next_index <= self.log.base().index {
            progress.transfer = self.snapshot.clone().map(|snapshot| SnapshotTransfer {
                offset: 0,
                sent_at: None,
                snapshot,
            });
        }
        let body = match &mut progress.transfer {
            Some(transfer) => {
                let is_due = transfer
                    .sent_at
                    .is_none_or(|sent| self.now >= sent + self.cfg.election_timeout);
                if is_due {
                    transfer.sent_at = Some(self.now);
                    transfer.build_chunk(self.now)
                } else {
                    self.build_append(self.log.last_position().index, Vec::new())
                }
            }
            None => {
                let previous = progress.next_index - 1;
                let entries = if progress.can_send_entries() {
                    self.log
                        .entries_from(progress.next_index, Self::MAX_APPEND_BYTES)
                } else {
                    Vec::new()
                };
                progress.next_index += entries.len() as u64;
                self.build_append(previous, entries)
            }
        };
        self.send(peer, self.hard_state.term, body);
    }

    /// Sends entries to `peer` unless a snapshot is being sent to it or too many entries are in
    /// flight.
    fn replicate_if_window_open(&mut self, peer: &MemberId) {
        let is_open = self
            .progress
            .get(peer)
            .is_some_and(|progress| progress.transfer.is_none() && progress.can_send_entries());
        if is_open {
            self.replicate(peer);
        }
    }
}
