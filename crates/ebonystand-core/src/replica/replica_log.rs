use super::*;

/// Entries and members that a replica holds in memory.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReplicaLog {
    /// Entry before the first one that is held.
    base: LogPosition,
    entries: VecDeque<LogEntry>,
    /// Members by the index from which they hold; the first one is at the snapshot or before.
    memberships: BTreeMap<LogIndex, Membership>,
}

impl ReplicaLog {
    pub(crate) fn base(&self) -> LogPosition {
        self.base
    }

    /// Forgets entries up to `index`.
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

    /// First index of the term that the entry at `index` has, as far as it is held.
    pub(crate) fn first_of_term(&self, index: LogIndex) -> LogIndex {
        let term = self.term(index);
        let mut first = index;
        while first > self.base.index + 1 && self.term(first - 1) == term {
            first -= 1;
        }
        first
    }

    /// Takes a snapshot in: entries behind it are kept if it is part of this log.
    pub(crate) fn install(&mut self, snapshot: &LogSnapshot) {
        let position = snapshot.position;
        if self.term(position.index) == Some(position.term) {
            self.compact(position.index);
        } else {
            self.base = position;
            self.entries.clear();
            self.memberships.clear();
        }
        self.settle_members(position.index, snapshot.members.clone());
    }

    pub(crate) fn is_blank(&self) -> bool {
        self.last().index == 0
    }

    pub(crate) fn last(&self) -> LogPosition {
        self.entries
            .back()
            .map_or(self.base, |entry| entry.position)
    }

    /// Newest members; none while the log is empty.
    pub(crate) fn members(&self) -> &Membership {
        static NONE: Membership = Membership {
            learners: BTreeSet::new(),
            voters: BTreeSet::new(),
        };
        self.memberships
            .last_key_value()
            .map_or(&NONE, |(_, members)| members)
    }

    pub(crate) fn members_at(&self, index: LogIndex) -> Membership {
        self.memberships
            .range(..=index)
            .next_back()
            .map(|(_, members)| members.clone())
            .unwrap_or_default()
    }

    /// Index from which the newest members hold.
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

    /// Members at a snapshot, in place of all that held before.
    pub(crate) fn settle_members(&mut self, index: LogIndex, members: Membership) {
        self.memberships = self.memberships.split_off(&(index + 1));
        self.memberships.insert(index, members);
    }

    /// Entries from `from` on: at most `bytes` of commands, but one at least.
    pub(crate) fn slice(&self, from: LogIndex, bytes: usize) -> Vec<LogEntry> {
        let mut left = bytes;
        let mut taken = Vec::new();
        let mut index = from;
        while let Some(entry) = self.entry(index) {
            if !taken.is_empty() && entry.payload.len() > left {
                break;
            }
            left = left.saturating_sub(entry.payload.len() + LogEntry::OVERHEAD);
            taken.push(entry.clone());
            index += 1;
            if left == 0 {
                break;
            }
        }
        taken
    }

    pub(crate) fn term(&self, index: LogIndex) -> Option<Term> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.entry(index).map(|entry| entry.position.term)
    }

    /// Drops the entries from `index` on.
    pub(crate) fn truncate(&mut self, index: LogIndex) {
        let keep = index.saturating_sub(self.base.index + 1);
        self.entries.truncate(usize::try_from(keep).unwrap_or(0));
        self.memberships.split_off(&index);
    }
}
