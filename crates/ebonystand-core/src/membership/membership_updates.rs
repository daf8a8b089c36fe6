use {super::*, std::cmp::Reverse};

/// News to pass on, each a bounded number of times, the least passed on and then the newest first.
#[derive(Clone, Debug, Default)]
pub(crate) struct MembershipUpdates {
    next: u64,
    queued: BTreeMap<VmId, QueuedUpdate>,
}

#[derive(Clone, Debug)]
struct QueuedUpdate {
    number: u64,
    queued_at: Duration,
    sent: u32,
    update: MembershipUpdate,
}

impl MembershipUpdates {
    /// Pieces of news that are kept. When a whole fleet starts at once, what is dropped is found
    /// by comparing digests.
    const CAPACITY: usize = 256;
    /// News that is older has reached everybody, or is found by comparing digests. Without this
    /// limit the fleet repeats for minutes what it learnt when it started.
    const KEPT: Duration = Duration::from_secs(10);

    pub(crate) fn is_empty(&self) -> bool {
        self.queued.is_empty()
    }

    /// Replaces older news of the same VM.
    pub(crate) fn push(&mut self, now: Duration, update: MembershipUpdate) {
        self.next += 1;
        let queued = QueuedUpdate {
            number: self.next,
            queued_at: now,
            sent: 0,
            update,
        };
        self.queued.insert(queued.update.vm().clone(), queued);
        if self.queued.len() > Self::CAPACITY {
            let oldest = self.queued.values().min_by_key(|queued| queued.number);
            let Some(oldest) = oldest.map(|queued| queued.update.vm().clone()) else {
                return;
            };
            self.queued.remove(&oldest);
        }
    }

    /// Takes news of up to `room` bytes; each is given out `times` times in all.
    pub(crate) fn take(
        &mut self,
        now: Duration,
        mut room: usize,
        times: u32,
    ) -> Vec<MembershipUpdate> {
        self.queued
            .retain(|_, queued| now.saturating_sub(queued.queued_at) < Self::KEPT);
        if self.queued.is_empty() {
            return Vec::new();
        }
        let mut order: Vec<_> = self
            .queued
            .values()
            .map(|queued| {
                (
                    queued.sent,
                    Reverse(queued.number),
                    queued.update.vm().clone(),
                )
            })
            .collect();
        order.sort_unstable();
        let mut taken = Vec::new();
        for (_, _, vm) in order {
            let Some(queued) = self.queued.get_mut(&vm) else {
                continue;
            };
            let weight = queued.update.weight();
            if weight > room {
                continue;
            }
            room -= weight;
            queued.sent += 1;
            taken.push(queued.update.clone());
            if queued.sent >= times {
                self.queued.remove(&vm);
            }
        }
        taken
    }
}
