use super::*;

/// In-memory part of a replica's log: the entries after `base` and the memberships in force there.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReplicaLog {
    /// Position of the entry before the first one in `entries`.
    base: LogPosition,
    entries: VecDeque<LogEntry>,
    /// Memberships, keyed by the index from which each is in force. The first one is at the
    /// snapshot's index or below.
    memberships: BTreeMap<LogIndex, Membership>,
}

impl ReplicaLog {
    pub(crate) fn base(&self) -> LogPosition {
        self.base
    }

    /// Drops the entries up to and including `index`.
    pub(crate) fn compact(&mut self, index: LogIndex) {
        while let Some(entry) = self.entries.front() {
            if entry.position.index > index {
                break;
            }
            self.base = entry.position;
            self.entries.pop_front();
        }
    }

    pub(crate) fn entry(&self, index: LogIndex) -> Option<&LogEntry> {
        let offset = index.checked_sub(self.base.index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Returns the index of the first in-memory entry that has the same term as the entry at
    /// `index`.
    pub(crate) fn first_index_of_term(&self, index: LogIndex) -> LogIndex {
        let term = self.term_at(index);
        let mut first = index;
        while first > self.base.index + 1 && self.term_at(first - 1) == term {
            first -= 1;
        }
        first
    }

    /// Installs a snapshot. The entries after it are kept if its last entry is in this log, and all
    /// entries are dropped otherwise.
    pub(crate) fn install_snapshot(&mut self, snapshot: &LogSnapshot) {
        let position = snapshot.position;
        if self.term_at(position.index) == Some(position.term) {
            self.compact(position.index);
        } else {
            self.base = position;
            self.entries.clear();
            self.memberships.clear();
        }
        self.compact_members(position.index, snapshot.members.clone());
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.last_position().index == 0
    }

    pub(crate) fn last_position(&self) -> LogPosition {
        self.entries
            .back()
            .map_or(self.base, |entry| entry.position)
    }

    /// Returns the newest membership, which need not be committed; an empty one if the log is
    /// empty.
    pub(crate) fn members(&self) -> &Membership {
        static NONE: Membership = Membership {
            learners: BTreeSet::new(),
            voters: BTreeSet::new(),
        };
        self.memberships
            .last_key_value()
            .map_or(&NONE, |(_, members)| members)
    }

    /// Returns the membership in force at `index`.
    pub(crate) fn members_at(&self, index: LogIndex) -> Membership {
        self.memberships
            .range(..=index)
            .next_back()
            .map(|(_, members)| members.clone())
            .unwrap_or_default()
    }

    /// Returns the index of the entry that set the newest membership.
    pub(crate) fn members_index(&self) -> LogIndex {
        self.memberships
            .last_key_value()
            .map_or(0, |(index, _)| *index)
    }

    pub(crate) fn push(&mut self, entry: LogEntry) {
        if let LogPayload::Members(members) = &entry.payload {
            self.memberships
                .insert(entry.position.index, members.clone());
        }
        self.entries.push_back(entry);
    }

    /// Replaces the memberships up to and including `index` by `members`.
    pub(crate) fn compact_members(&mut self, index: LogIndex, members: Membership) {
        self.memberships = self.memberships.split_off(&(index + 1));
        self.memberships.insert(index, members);
    }

    /// Returns entries from index `first` on. They contain at most `max_bytes` of commands, but at
    /// least one entry is returned if there is one.
    pub(crate) fn entries_from(&self, first: LogIndex, max_bytes: usize) -> Vec<LogEntry> {
        let mut bytes_left = max_bytes;
        let mut entries = Vec::new();
        let mut index = first;
        while let Some(entry) = self.entry(index) {
            if !entries.is_empty() && entry.payload.len() > bytes_left {
                break;
            }
            bytes_left = bytes_left.saturating_sub(entry.payload.len() + LogEntry::OVERHEAD_BYTES);
            entries.push(entry.clone());
            index += 1;
            if bytes_left == 0 {
                break;
            }
        }
        entries
    }

    /// Returns the term of the entry at `index`, if that entry is `base` or in memory.
    pub(crate) fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.entry(index).map(|entry| entry.position.term)
    }

    /// Drops the entries from `index` on and the memberships that they set.
    pub(crate) fn truncate_from(&mut self, index: LogIndex) {
        let keep = index.saturating_sub(self.base.index + 1);
        self.entries.truncate(usize::try_from(keep).unwrap_or(0));
        self.memberships.split_off(&index);
    }
}
