use super::*;

/// Requests that wait on one VM until an upstream has room, in fair order.
///
/// Ranks share the upstreams by weight and not strictly: under a lasting excess of the first rank,
/// the others would get nothing at all. Within a rank the order is that of arrival. What waits here
/// can still be given up, sent elsewhere or overtaken; what waits in an upstream cannot.
#[derive(Clone, Debug, Default)]
pub struct TurnQueue {
    /// Virtual time at which the last request of a rank ends.
    ends: FxHashMap<u8, u64>,
    /// By virtual time of their ends, and number.
    waiting: BTreeMap<(u64, u64), u64>,
    /// Virtual time of the last request that left.
    virtual_now: u64,
}

impl TurnQueue {
    /// Weights of the ranks 0, 1 and all others: the first gets twice what the next one gets, which
    /// keeps it ahead without closing the next one out.
    const WEIGHTS: [u64; 3] = [4, 2, 1];
    /// Requests that wait at most. More could not be served within any aim.
    pub const LONGEST: usize = 1_024;

    /// Whether nobody waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Takes a request in, unless too many wait; whether it did.
    pub fn push(&mut self, number: u64, rank: u8, work: u64) -> bool {
        if self.waiting.len() >= Self::LONGEST {
            return false;
        }
        let weight = Self::WEIGHTS[usize::from(rank).min(Self::WEIGHTS.len() - 1)];
        let start = self.ends.get(&rank).copied().unwrap_or_default();
        let end = start.max(self.virtual_now) + work.max(1) * Self::WEIGHTS[0] / weight;
        self.ends.insert(rank, end);
        self.waiting.insert((end, number), work);
        true
    }

    /// The request whose turn is next, with its work.
    #[must_use]
    pub fn first(&self) -> Option<(u64, u64)> {
        let ((_, number), work) = self.waiting.first_key_value()?;
        Some((*number, *work))
    }

    /// Takes the first request out.
    pub fn pop(&mut self) -> Option<u64> {
        let ((end, number), _) = self.waiting.pop_first()?;
        self.virtual_now = self.virtual_now.max(end);
        Some(number)
    }

    /// Takes a request out that is given up.
    pub fn remove(&mut self, number: u64) {
        self.waiting.retain(|(_, waiting), _| *waiting != number);
    }
}
