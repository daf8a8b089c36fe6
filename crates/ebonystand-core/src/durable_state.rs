use super::*;

/// Durable state of a replica, which survives a restart.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct DurableState {
    /// Entries after the snapshot, without a gap.
    pub entries: VecDeque<LogEntry>,
    /// Current term and vote.
    pub hard_state: HardState,
    /// Random number drawn when the data folder was created.
    pub incarnation: Incarnation,
    /// Newest snapshot, if there is one.
    pub snapshot: Option<LogSnapshot>,
}

impl DurableState {
    /// Applies a record, in the order in which records were written.
    pub fn apply(&mut self, record: LogRecord) {
        match record {
            LogRecord::Append(entry) => {
                self.truncate_from(entry.position.index);
                self.entries.push_back(entry);
            }
            LogRecord::HardState(hard_state) => self.hard_state = hard_state,
            LogRecord::Snapshot(snapshot) => self.install_snapshot(snapshot),
        }
    }

    /// Returns the state of a newly created data folder.
    #[must_use]
    pub fn empty(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            ..Self::default()
        }
    }

    fn install_snapshot(&mut self, snapshot: LogSnapshot) {
        let position = snapshot.position;
        if self.entries.iter().any(|entry| entry.position == position) {
            while self
                .entries
                .front()
                .is_some_and(|entry| entry.position.index <= position.index)
            {
                self.entries.pop_front();
            }
        } else {
            self.entries.clear();
        }
        self.snapshot = Some(snapshot);
    }

    fn truncate_from(&mut self, index: LogIndex) {
        while self
            .entries
            .back()
            .is_some_and(|entry| entry.position.index >= index)
        {
            self.entries.pop_back();
        }
    }
}
