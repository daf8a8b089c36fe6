//! What a leader does.

use super::*;

impl Replica {
    /// Bytes of commands in one message.
    const APPEND_BYTES: usize = 256 * 1024;

    /// Appends an entry of this term; it is sent when the step ends, while the own disk writes.
    pub(crate) fn append_own(&mut self, payload: LogPayload) -> LogIndex {
        let position = LogPosition {
            index: self.log.last().index + 1,
            term: self.hard_state.term,
        };
        self.append_record(LogEntry { payload, position });
        self.fresh = true;
        position.index
    }

    pub(crate) fn append_reply(
        &mut self,
        from: &MemberId,
        term: Term,
        outcome: AppendOutcome,
        sent: Duration,
    ) {
        let now = self.now;
        let Some(progress) = self.answered(from, term, sent) else {
            return;
        };
        match outcome {
            AppendOutcome::Matched { index } => progress.matched(index),
            AppendOutcome::Mismatch { .. } if progress.transfer.is_some() => return,
            AppendOutcome::Mismatch { hint } => {
                if !progress.mismatched(hint, sent, now) {
                    return;
                }
            }
        }
        let behind = progress.next <= self.log.last().index;
        if behind {
            self.replicate(&from.clone());
        }
    }

    /// Steps down if no majority has answered for an election timeout. A leader that is cut off,
    /// or thaws after a long freeze, would otherwise take proposals that it can never commit.
    pub(crate) fn check_quorum(&mut self) {
        if self.role != ReplicaRole::Leader {
            return;
        }
        let heard = self.quorum_contact().unwrap_or_default();
        if self.now >= heard.max(self.led_since) + self.cfg.election_timeout {
            self.follow(self.hard_state.term);
            self.leader = None;
            self.reset_election_timer();
        }
    }

    pub(crate) fn heartbeat(&mut self) {
        self.timer = self.now + self.cfg.heartbeat;
        let peers: Vec<_> = self.progress.keys().cloned().collect();
        peers.iter().for_each(|peer| self.replicate(peer));
    }

    /// What a leader does after each step: commit, answer reads, move members on.
    pub(crate) fn lead_on(&mut self) {
        if self.role != ReplicaRole::Leader {
            return;
        }
        let before = self.commit;
        self.advance_commit();
        if self.holds_lease(self.now) {
            self.answer_barriers();
        }
        self.move_members();
        let committed = self.commit > before;
        let fresh = std::mem::take(&mut self.fresh);
        let peers: Vec<_> = self.progress.keys().cloned().collect();
        for peer in &peers {
            if committed {
                self.replicate(peer);
            } else if fresh {
                self.replicate_if_open(peer);
            }
        }
    }

    pub(crate) fn not_leader(&self) -> ProposalFault {
        ProposalFault::NotLeader {
            leader: self.leader.clone(),
        }
    }

    pub(crate) fn propose(&mut self, id: ProposalId, command: Bytes) {
        if self.role != ReplicaRole::Leader {
            let result = Err(self.not_leader());
            self.outputs.push(ReplicaOutput::Proposed { id, result });
            return;
        }
        let index = self.append_own(LogPayload::Command(command));
        self.proposals.insert(index, id);
    }

    /// Newest time at which something was sent that a majority answered. The lease counts from
    /// there, so that each of these voters refuses other candidates for longer than it runs.
    pub(crate) fn quorum_contact(&self) -> Option<Duration> {
        let members = self.log.members();
        let mut contacts: Vec<_> = members
            .voters
            .iter()
            .map(|voter| {
                if *voter == self.cfg.id {
                    return Some(self.now);
                }
                self.progress.get(voter).and_then(|p| p.contact)
            })
            .collect();
        contacts.sort_unstable_by(|a, b| b.cmp(a));
        contacts.get(members.quorum() - 1).copied().flatten()
    }

    pub(crate) fn read_barrier(&mut self, id: ProposalId) {
        if self.role == ReplicaRole::Leader {
            self.barriers.push_back(id);
            return;
        }
        let result = Err(self.not_leader());
        self.outputs.push(ReplicaOutput::Readable { id, result });
    }

    pub(crate) fn snapshot_reply(
        &mut self,
        from: &MemberId,
        term: Term,
        position: LogPosition,
        received: u64,
        sent: Duration,
    ) {
        let now = self.now;
        let Some(progress) = self.answered(from, term, sent) else {
            return;
        };
        let Some(transfer) = &mut progress.transfer else {
            return;
        };
        if transfer.snapshot.position != position || transfer.offset == received {
            return;
        }
        transfer.offset = received;
        transfer.sent = Some(now);
        let chunk = transfer.chunk(now);
        self.send(from, term, chunk);
    }

    pub(crate) fn start_leading(&mut self) {
        self.set_role(ReplicaRole::Leader);
        self.leader = Some(self.cfg.id.clone());
        self.led_since = self.now;
        self.progress.clear();
        self.term_start = self.log.last().index + 1;
        self.append_own(LogPayload::Noop);
        self.follow_members();
        self.timer = self.now + self.cfg.heartbeat;
    }

    pub(crate) fn stop_leading(&mut self) {
        self.progress.clear();
        self.leader = None;
        for (_, id) in std::mem::take(&mut self.proposals) {
            let result = Err(ProposalFault::Lost);
            self.outputs.push(ReplicaOutput::Proposed { id, result });
        }
        for id in std::mem::take(&mut self.barriers) {
            let result = Err(self.not_leader());
            self.outputs.push(ReplicaOutput::Readable { id, result });
        }
        self.reset_election_timer();
    }

    /// Commits what a majority holds, if it is of this leader's term.
    ///
    /// An entry of an older term may be on a majority and still be overwritten by a leader whose
    /// log ends in a higher term. Once an entry of the own term is on a majority, no such leader
    /// can be elected, and all before it is safe.
    fn advance_commit(&mut self) {
        let members = self.log.members();
        let mut matched: Vec<_> = members
            .voters
            .iter()
            .map(|voter| self.matched(voter))
            .collect();
        matched.sort_unstable_by(|a, b| b.cmp(a));
        let index = matched.get(members.quorum() - 1).copied().unwrap_or(0);
        if index > self.commit && self.log.term(index) == Some(self.hard_state.term) {
            self.commit_to(index);
            self.leave_if_removed();
        }
    }

    fn answer_barriers(&mut self) {
        for id in std::mem::take(&mut self.barriers) {
            let result = Ok(self.commit);
            self.outputs.push(ReplicaOutput::Readable { id, result });
        }
    }

    /// The sender's progress, if it answers this leader in this term.
    fn answered(
        &mut self,
        from: &MemberId,
        term: Term,
        sent: Duration,
    ) -> Option<&mut ReplicaProgress> {
        if term > self.hard_state.term {
            self.follow(term);
        }
        if self.role != ReplicaRole::Leader || term < self.hard_state.term || sent > self.now {
            return None;
        }
        let progress = self.progress.get_mut(from)?;
        progress.contact = progress.contact.max(Some(sent));
        Some(progress)
    }

    fn append_after(&self, previous: LogIndex, entries: Vec<LogEntry>) -> ReplicaMessageBody {
        ReplicaMessageBody::Append {
            commit: self.commit,
            entries,
            previous: LogPosition {
                index: previous,
                term: self.log.term(previous).unwrap_or(0),
            },
            sent: self.now,
        }
    }

    fn matched(&self, voter: &MemberId) -> LogIndex {
        if *voter == self.cfg.id {
            return self.synced;
        }
        self.progress
            .get(voter)
            .map_or(0, |progress| progress.matched)
    }

    /// Sends what `peer` lacks; a heartbeat if that is nothing.
    fn replicate(&mut self, peer: &MemberId) {
        let Some(progress) = self.progress.get_mut(peer) else {
            return;
        };
        if progress.transfer.is_none() && progress.next <= self.log.base().index {
            progress.transfer = self.snapshot.clone().map(|snapshot| SnapshotTransfer {
                offset: 0,
                sent: None,
                snapshot,
            });
        }
        let body = match &mut progress.transfer {
            Some(transfer) => {
                let again = transfer
                    .sent
                    .is_none_or(|sent| self.now >= sent + self.cfg.election_timeout);
                if again {
                    transfer.sent = Some(self.now);
                    transfer.chunk(self.now)
                } else {
                    self.append_after(self.log.last().index, Vec::new())
                }
            }
            None => {
                let previous = progress.next - 1;
                let entries = if progress.is_open() {
                    self.log.slice(progress.next, Self::APPEND_BYTES)
                } else {
                    Vec::new()
                };
                progress.next += entries.len() as u64;
                self.append_after(previous, entries)
            }
        };
        self.send(peer, self.hard_state.term, body);
    }

    fn replicate_if_open(&mut self, peer: &MemberId) {
        let open = self
            .progress
            .get(peer)
            .is_some_and(|progress| progress.transfer.is_none() && progress.is_open());
        if open {
            self.replicate(peer);
        }
    }
}
