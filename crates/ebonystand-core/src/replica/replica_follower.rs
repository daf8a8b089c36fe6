//! How a replica takes what a leader sends.

use super::*;

impl Replica {
    pub(crate) fn append(
        &mut self,
        from: &MemberId,
        term: Term,
        commit: LogIndex,
        entries: Vec<LogEntry>,
        previous: LogPosition,
        sent: Duration,
    ) {
        if !self.hear_leader(from, term, sent) {
            return;
        }
        if let Some(hint) = self.mismatch(previous) {
            self.answer(from, AppendOutcome::Mismatch { hint }, sent);
            return;
        }
        let index = previous.index + entries.len() as u64;
        entries.into_iter().for_each(|entry| self.take_entry(entry));
        self.answer(from, AppendOutcome::Matched { index }, sent);
        self.commit_to(commit.min(index));
    }

    pub(crate) fn snapshot_chunk(&mut self, from: &MemberId, term: Term, body: ReplicaMessageBody) {
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
        if !self.hear_leader(from, term, sent) {
            return;
        }
        if position.index <= self.commit {
            let index = self.commit;
            self.answer(from, AppendOutcome::Matched { index }, sent);
            return;
        }
        let mut incoming = self.incoming_at(position, term);
        let received = incoming.push(offset, &chunk);
        if !last || received != offset + chunk.len() as u64 {
            self.incoming = Some(incoming);
            let reply = ReplicaMessageBody::SnapshotReply {
                position,
                received,
                sent,
            };
            self.send_synced(from, reply);
            return;
        }
        self.install(LogSnapshot {
            members,
            position,
            state: incoming.buf.into(),
        });
        let index = position.index;
        self.answer(from, AppendOutcome::Matched { index }, sent);
    }

    fn answer(&mut self, to: &MemberId, outcome: AppendOutcome, sent: Duration) {
        self.send_synced(to, ReplicaMessageBody::AppendReply { outcome, sent });
    }

    /// Follows the leader of `term`; `false` if that term is over.
    ///
    /// The entries of a leader that was deposed while it was cut off or frozen must not be taken:
    /// its successor may have committed others at the same indices.
    fn hear_leader(&mut self, from: &MemberId, term: Term, sent: Duration) -> bool {
        if term < self.hard_state.term {
            let hint = self.log.last().index;
            self.answer(from, AppendOutcome::Mismatch { hint }, sent);
            return false;
        }
        self.follow(term);
        self.heard = self.now;
        self.leader = Some(from.clone());
        self.reset_election_timer();
        true
    }

    fn incoming_at(&mut self, position: LogPosition, term: Term) -> SnapshotAssembly {
        self.incoming
            .take()
            .filter(|incoming| incoming.position == position && incoming.term == term)
            .unwrap_or(SnapshotAssembly {
                buf: Vec::new(),
                position,
                term,
            })
    }

    fn install(&mut self, snapshot: LogSnapshot) {
        self.log.install(&snapshot);
        self.commit = snapshot.position.index;
        self.snapshot_asked = self.commit;
        self.store_snapshot(snapshot.clone());
        self.outputs
            .push(ReplicaOutput::InstallSnapshot { snapshot });
    }

    /// Where the logs may meet, if the entry before the leader's entries is not here.
    fn mismatch(&self, previous: LogPosition) -> Option<LogIndex> {
        if previous.index < self.commit {
            return None;
        }
        match self.log.term(previous.index) {
            Some(term) if term == previous.term => None,
            Some(_) => {
                let first = self.log.first_of_term(previous.index);
                Some(self.commit.max(first.saturating_sub(1)))
            }
            None => Some(self.log.last().index),
        }
    }

    fn take_entry(&mut self, entry: LogEntry) {
        let LogPosition { index, term } = entry.position;
        if index <= self.commit {
            return;
        }
        match self.log.term(index) {
            Some(held) if held == term => return,
            Some(_) => self.log.truncate(index),
            None => {}
        }
        self.append_record(entry);
    }
}
