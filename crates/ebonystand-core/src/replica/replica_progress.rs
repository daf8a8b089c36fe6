use super::*;

/// A leader's view of the log of another replica.
#[derive(Clone, Debug)]
pub(crate) struct ReplicaProgress {
    /// Leader's clock when it sent the newest message that the replica has answered.
    pub(crate) last_contact: Option<Duration>,
    /// Index of the last entry that is durable on the replica and equal to the leader's entry.
    pub(crate) matched: LogIndex,
    /// Leader's clock when `next_index` was last moved back.
    pub(crate) rewound_at: Duration,
    /// Index of the next entry to send.
    pub(crate) next_index: LogIndex,
    /// Snapshot that is being sent to the replica.
    pub(crate) transfer: Option<SnapshotTransfer>,
}

impl ReplicaProgress {
    /// Maximum number of entries in flight, that is, sent and not yet confirmed.
    const MAX_ENTRIES_IN_FLIGHT: u64 = 4_096;

    /// Returns whether more entries may be sent before the next answer.
    pub(crate) fn can_send_entries(&self) -> bool {
        self.next_index <= self.matched + Self::MAX_ENTRIES_IN_FLIGHT || self.matched == 0
    }

    /// Records that the replica's log is durable and equal to the leader's up to `index`.
    pub(crate) fn record_match(&mut self, index: LogIndex) {
        self.matched = self.matched.max(index);
        self.next_index = self.next_index.max(self.matched + 1);
        if self
            .transfer
            .as_ref()
            .is_some_and(|transfer| transfer.snapshot.position.index <= index)
        {
            self.transfer = None;
        }
    }

    /// Moves `next_index` back after the replica reported that it lacks the entry before those of a
    /// message sent at `sent`. The logs may agree up to `hint`. Returns whether `next_index` was
    /// moved.
    ///
    /// After a lost message, the replica answers each later message in flight like this. Only the
    /// first answer counts: otherwise each of them would trigger another transmission of everything
    /// after the gap.
    pub(crate) fn record_mismatch(
        &mut self,
        hint: LogIndex,
        sent: Duration,
        now: Duration,
    ) -> bool {
        if sent < self.rewound_at {
            return false;
        }
        self.rewound_at = now;
        let lower = self.next_index.saturating_sub(1).min(hint + 1);
        self.next_index = lower.max(self.matched + 1);
        true
    }

    pub(crate) fn new(next_index: LogIndex) -> Self {
        Self {
            last_contact: None,
            matched: 0,
            next_index,
            rewound_at: Duration::ZERO,
            transfer: None,
        }
    }
}
