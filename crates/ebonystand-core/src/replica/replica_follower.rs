//! Follower: entries and snapshots received from a leader.

use super::*;

impl Replica {
    /// Appends a leader's entries and commits up to its commit index. The reply waits for the disk.
    pub(crate) fn handle_append(
        &mut self,
        from: &MemberId,
        term: Term,
        commit: LogIndex,
        entries: Vec<LogEntry>,
        previous: LogPosition,
        sent: Duration,
    ) {
        if !self.accept_leader(from, term, sent) {
            return;
        }
        if let Some(hint) = self.find_mismatch(previous) {
            self.reply_to_append(from, AppendOutcome::Mismatch { hint }, sent);
            return;
        }
        let index = previous.index + entries.len() as u64;
        entries
            .into_iter()
            .for_each(|entry| self.accept_entry(entry));
        self.reply_to_append(from, AppendOutcome::Matched { index }, sent);
        self.commit_to(commit.min(index));
    }

    /// Adds a chunk to the snapshot being received and installs the snapshot after the last chunk.
    pub(crate) fn handle_snapshot_chunk(
        &mut self,
        from: &MemberId,
        term: Term,
        body: ReplicaMessageBody,
    ) {
        let ReplicaMessageBody::SnapshotChunk {
            chunk,
            last,
            members,
            offset,
            position,
            sent,
        } = body
        else {
            return;
        };
        if !self.accept_leader(from, term, sent) {
            return;
        }
        if position.index <= self.commit_index {
            let index = self.commit_index;
            self.reply_to_append(from, AppendOutcome::Matched { index }, sent);
            return;
        }
        let mut incoming = self.take_incoming_snapshot(position, term);
        let received = incoming.push(offset, &chunk);
        if !last || received != offset + chunk.len() as u64 {
            self.incoming_snapshot = Some(incoming);
            let reply = ReplicaMessageBody::SnapshotReply {
                position,
                received,
                sent,
            };
            self.send_when_synced(from, reply);
            return;
        }
        self.install_snapshot(LogSnapshot {
            members,
            position,
            state: incoming.buf.into(),
        });
        let index = position.index;
        self.reply_to_append(from, AppendOutcome::Matched { index }, sent);
    }

    fn reply_to_append(&mut self, to: &MemberId, outcome: AppendOutcome, sent: Duration) {
        self.send_when_synced(to, ReplicaMessageBody::AppendReply { outcome, sent });
    }

    /// Accepts the sender as the leader of `term`. Returns `false` if the term is over.
    ///
    /// Entries of a leader that was deposed while it was partitioned off or frozen must be
    /// rejected: its successor may have committed other entries at the same indices.
    fn accept_leader(&mut self, from: &MemberId, term: Term, sent: Duration) -> bool {
        if term < self.hard_state.term {
            let hint = self.log.last_position().index;
            self.reply_to_append(from, AppendOutcome::Mismatch { hint }, sent);
            return false;
        }
        self.become_follower(term);
        self.leader_heard_at = self.now;
        self.leader = Some(from.clone());
        self.reset_election_timer();
        true
    }

    /// Takes the partly received snapshot of this position and term, or starts a new one.
    fn take_incoming_snapshot(&mut self, position: LogPosition, term: Term) -> SnapshotAssembly {
        self.incoming_snapshot
            .take()
            .filter(|incoming| incoming.position == position && incoming.term == term)
            .unwrap_or(SnapshotAssembly {
                buf: Vec::new(),
                position,
                term,
            })
    }

    fn install_snapshot(&mut self, snapshot: LogSnapshot) {
        self.log.install_snapshot(&snapshot);
        self.commit_index = snapshot.position.index;
        self.snapshot_requested_index = self.commit_index;
        self.store_snapshot(snapshot.clone());
        self.outputs
            .push(ReplicaOutput::InstallSnapshot { snapshot });
    }

    /// Returns the last index at which the logs may agree if this log lacks the entry that precedes
    /// the leader's entries, and `None` if it has that entry.
    fn find_mismatch(&self, previous: LogPosition) -> Option<LogIndex> {
        if previous.index < self.commit_index {
            return None;
        }
        match self.log.term_at(previous.index) {
            Some(term) if term == previous.term => None,
            Some(_) => {
                let first = self.log.first_index_of_term(previous.index);
                Some(self.commit_index.max(first.saturating_sub(1)))
            }
            None => Some(self.log.last_position().index),
        }
    }

    /// Appends an entry unless the log has it, after dropping entries that conflict with it.
    fn accept_entry(&mut self, entry: LogEntry) {
        let LogPosition { index, term } = entry.position;
        if index <= self.commit_index {
            return;
        }
        match self.log.term_at(index) {
            Some(held) if held == term => return,
            Some(_) => self.log.truncate_from(index),
            None => {}
        }
        self.append_entry(entry);
    }
}
