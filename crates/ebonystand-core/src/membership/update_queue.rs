use {super::*, std::cmp::Reverse};

/// Queue of membership updates to gossip, each transmitted a bounded number of times.
///
/// The least often transmitted updates go first, and among those the newest.
#[derive(Clone, Debug, Default)]
pub(crate) struct UpdateQueue {
    /// Sequence number of the last update that was queued.
    last_sequence: u64,
    updates: BTreeMap<VmId, QueuedUpdate>,
}

/// Membership update that waits to be gossiped, with the number of its transmissions so far.
#[derive(Clone, Debug)]
struct QueuedUpdate {
    sequence: u64,
    queued_at: Duration,
    transmissions: u32,
    update: MembershipUpdate,
}

impl UpdateQueue {
    /// Maximum number of queued updates. When a whole fleet starts at once, more updates arrive
    /// than this; the dropped ones are recovered by comparing digests of the tables.
    const CAPACITY: usize = 256;
    /// Time after which a queued update is dropped: it has reached every VM by then, or is
    /// recovered by comparing digests. Without this limit, a fleet that has just started keeps
    /// repeating its first updates for minutes.
    const MAX_AGE: Duration = Duration::from_secs(10);

    pub(crate) fn is_empty(&self) -> bool {
        self.updates.is_empty()
    }

    /// Queues an update in place of any older one about the same VM.
    pub(crate) fn push(&mut self, now: Duration, update: MembershipUpdate) {
        self.last_sequence += 1;
        let queued = QueuedUpdate {
            sequence: self.last_sequence,
            queued_at: now,
            transmissions: 0,
            update,
        };
        self.updates.insert(queued.update.vm().clone(), queued);
        if self.updates.len() > Self::CAPACITY {
            let oldest = self.updates.values().min_by_key(|queued| queued.sequence);
            let Some(oldest) = oldest.map(|queued| queued.update.vm().clone()) else {
                return;
            };
            self.updates.remove(&oldest);
        }
    }

    /// Returns updates of up to `room` bytes in total, and removes those that have now been
    /// returned `transmit_limit` times.
    pub(crate) fn take_batch(
        &mut self,
        now: Duration,
        mut room: usize,
        transmit_limit: u32,
    ) -> Vec<MembershipUpdate> {
        self.updates
            .retain(|_, queued| now.saturating_sub(queued.queued_at) < Self::MAX_AGE);
        if self.updates.is_empty() {
            return Vec::new();
        }
        let mut candidates: Vec<_> = self
            .updates
            .values()
            .map(|queued| {
                (
                    queued.transmissions,
                    Reverse(queued.sequence),
                    queued.update.vm().clone(),
                )
            })
            .collect();
        candidates.sort_unstable();
        let mut batch = Vec::new();
        for (_, _, vm) in candidates {
            let Some(queued) = self.updates.get_mut(&vm) else {
                continue;
            };
            let encoded_len = queued.update.max_encoded_len();
            if encoded_len > room {
                continue;
            }
            room -= encoded_len;
            queued.transmissions += 1;
            batch.push(queued.update.clone());
            if queued.transmissions >= transmit_limit {
                self.updates.remove(&vm);
            }
        }
        batch
    }
}
