use super::*;

/// Weighted fair queue of the requests that wait on one VM until an upstream has room.
///
/// Ranks share the upstreams by weight instead of strict priority: under lasting excess load of the
/// first rank, the others would get nothing at all. Within a rank the order is that of arrival. A
/// request that waits here can still be abandoned, sent elsewhere or overtaken, unlike one that
/// waits in an upstream.
#[derive(Clone, Debug, Default)]
pub struct WeightedFairQueue {
    /// Virtual finish time of the last request of each rank.
    rank_ends: FxHashMap<u8, u64>,
    /// Work of each waiting request, by virtual finish time and request number.
    requests: BTreeMap<(u64, u64), u64>,
    /// Virtual finish time of the last request that left the queue.
    virtual_now: u64,
}

impl WeightedFairQueue {
    /// Weights of the ranks 0, 1 and all others. Each rank gets twice the share of the next one,
    /// which prefers it without starving the next.
    const WEIGHTS: [u64; 3] = [4, 2, 1];
    /// Most requests that wait at once. More could not be served within any first-byte target.
    pub const MAX_WAITING: usize = 1_024;

    /// Returns whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Adds a request unless the queue is full, and returns whether it was added.
    pub fn push(&mut self, number: u64, rank: u8, work: u64) -> bool {
        if self.requests.len() >= Self::MAX_WAITING {
            return false;
        }
        let weight = Self::WEIGHTS[usize::from(rank).min(Self::WEIGHTS.len() - 1)];
        let start = self.rank_ends.get(&rank).copied().unwrap_or_default();
        let end = start.max(self.virtual_now) + work.max(1) * Self::WEIGHTS[0] / weight;
        self.rank_ends.insert(rank, end);
        self.requests.insert((end, number), work);
        true
    }

    /// Returns the number and the work of the next request.
    #[must_use]
    pub fn peek(&self) -> Option<(u64, u64)> {
        let ((_, number), work) = self.requests.first_key_value()?;
        Some((*number, *work))
    }

    /// Removes the next request and returns its number.
    pub fn pop(&mut self) -> Option<u64> {
        let ((end, number), _) = self.requests.pop_first()?;
        self.virtual_now = self.virtual_now.max(end);
        Some(number)
    }

    /// Removes a request that is abandoned.
    pub fn remove(&mut self, number: u64) {
        self.requests.retain(|(_, waiting), _| *waiting != number);
    }
}
