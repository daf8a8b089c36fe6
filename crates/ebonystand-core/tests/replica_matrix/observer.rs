//! Checks the claims of replicas against a history of its own, without knowledge of their
//! internals.

use {
    ebonystand_core::{LogEntry, LogIndex, LogPayload, MemberId, ProposalId, Term},
    std::collections::BTreeMap,
};

#[derive(Default)]
pub struct Observer {
    acknowledged: BTreeMap<LogIndex, Box<[u8]>>,
    committed: BTreeMap<LogIndex, LogEntry>,
    /// Last index that was acknowledged when each read was requested.
    acknowledged_before_read: BTreeMap<ProposalId, LogIndex>,
    leaders: BTreeMap<Term, MemberId>,
    /// Last index that each process has committed since its start.
    last_committed: BTreeMap<MemberId, LogIndex>,
}

impl Observer {
    /// Records that a proposer's command was acknowledged at `index`.
    pub fn record_acknowledged(&mut self, index: LogIndex, command: &[u8]) {
        let entry = self.committed.get(&index).expect("acked before a commit");
        assert_eq!(entry.payload, LogPayload::Command(command.to_vec().into()));
        self.acknowledged.insert(index, command.into());
    }

    pub fn acknowledged_count(&self) -> usize {
        self.acknowledged.len()
    }

    pub fn record_read_request(&mut self, read: ProposalId) {
        let last = self.acknowledged.last_key_value();
        self.acknowledged_before_read
            .insert(read, last.map_or(0, |(index, _)| *index));
    }

    /// Asserts that a read that may proceed at `index` sees every command acknowledged before it
    /// was requested.
    pub fn record_read(&self, id: &MemberId, read: ProposalId, index: LogIndex) {
        assert!(
            index >= self.acknowledged_before_read[&read],
            "{id} serves a stale read"
        );
    }

    /// Records a commit and asserts that replicas commit without gaps and agree on each entry.
    pub fn record_commit(&mut self, id: &MemberId, entry: &LogEntry) {
        let index = entry.position.index;
        let last = self.last_committed.insert(id.clone(), index);
        assert_eq!(last.map(|last| last + 1), Some(index), "{id} skips");
        let first = self.committed.entry(index).or_insert(entry.clone());
        assert_eq!(first, entry, "{id} commits another entry at {index}");
    }

    /// Asserts that a state applied up to `index` contains every command acknowledged up to there.
    pub fn assert_holds_acknowledged(
        &self,
        id: &MemberId,
        index: LogIndex,
        state: &[(LogIndex, Vec<u8>)],
    ) {
        let expected: Vec<_> = self
            .acknowledged
            .range(..=index)
            .map(|(index, command)| (*index, command.to_vec()))
            .collect();
        let held: Vec<_> = state
            .iter()
            .filter(|(index, _)| self.acknowledged.contains_key(index))
            .cloned()
            .collect();
        assert_eq!(held, expected, "{id} lacks acknowledged commands");
    }

    pub fn record_installed(&mut self, id: &MemberId, index: LogIndex) {
        self.last_committed.insert(id.clone(), index);
    }

    /// Asserts that no term has two leaders and that only the leader of the newest term holds a
    /// lease. Each claim is a leader, its term, and whether it holds a lease now.
    pub fn record_leaders(&mut self, claims: &[(MemberId, Term, bool)]) {
        for (id, term, _) in claims {
            let first = self.leaders.entry(*term).or_insert(id.clone());
            assert_eq!(first, id, "two leaders in term {term}");
        }
        let newest = claims.iter().map(|(_, term, _)| *term).max();
        for (id, term, lease) in claims {
            assert!(
                !lease || Some(*term) == newest,
                "{id} holds a lease in term {term} beside a leader of term {newest:?}"
            );
        }
    }
}
