use super::*;

/// What a leader knows of another replica.
#[derive(Clone, Debug)]
pub(crate) struct ReplicaProgress {
    /// Leader's clock when it sent the newest message that was answered.
    pub(crate) contact: Option<Duration>,
    /// Last entry that is durable there and equal.
    pub(crate) matched: LogIndex,
    /// Leader's clock when `next` was last set back.
    pub(crate) rewound: Duration,
    /// Next entry to send.
    pub(crate) next: LogIndex,
    /// Snapshot on its way.
    pub(crate) transfer: Option<SnapshotTransfer>,
}

impl ReplicaProgress {
    /// Entries that may be on their way unanswered.
    const WINDOW: u64 = 4_096;

    /// Whether more entries may be sent before an answer comes.
    pub(crate) fn is_open(&self) -> bool {
        self.next <= self.matched + Self::WINDOW || self.matched == 0
    }

    pub(crate) fn matched(&mut self, index: LogIndex) {
        self.matched = self.matched.max(index);
        self.next = self.next.max(self.matched + 1);
        if self
            .transfer
            .as_ref()
            .is_some_and(|transfer| transfer.snapshot.position.index <= index)
        {
            self.transfer = None;
        }
    }

    /// The replica lacked the entry before those that were `sent`; `hint` is where it may match.
    ///
    /// All that was on its way behind a lost message is answered so. Only the first answer counts:
    /// else each of them would send everything behind the gap once more. Returns whether it does.
    pub(crate) fn mismatched(&mut self, hint: LogIndex, sent: Duration, now: Duration) -> bool {
        if sent < self.rewound {
            return false;
        }
        self.rewound = now;
        let lower = self.next.saturating_sub(1).min(hint + 1);
        self.next = lower.max(self.matched + 1);
        true
    }

    pub(crate) fn new(next: LogIndex) -> Self {
        Self {
            contact: None,
            matched: 0,
            next,
            rewound: Duration::ZERO,
            transfer: None,
        }
    }
}
