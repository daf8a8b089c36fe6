use super::*;

/// Order in which waiting requests get the slots of a service.
///
/// Ranks share the slots by weight, and the workspaces of a rank share them equally. Both shares are kept by
/// start-time fair queueing in expected slot time: a rank or workspace that asks for less than its share leaves the
/// rest to the others, and a request waits no longer for being large. Within a workspace the request that is due
/// first goes first, except that each [`Self::OLDEST_TURN`]th turn goes to the oldest one, so that none is overtaken
/// forever.
#[derive(Clone, Debug, Default)]
pub struct SlotOrder {
    count: usize,
    ranks: BTreeMap<u8, RankShare>,
    /// Start tag of the rank that was served last, in microseconds of slot time at weight 1.
    virtual_time: u64,
}

/// Requests of one rank, with the rank's share of the slots.
#[derive(Clone, Debug, Default)]
struct RankShare {
    start: u64,
    /// Start tag of the workspace that was served last, in microseconds of slot time.
    virtual_time: u64,
    workspaces: BTreeMap<Option<WorkspaceId>, WorkspaceShare>,
}

/// Requests of one workspace and rank, with the workspace's share of the slots.
#[derive(Clone, Debug, Default)]
struct WorkspaceShare {
    /// Waiting requests by the time at which they are due.
    by_due: BTreeSet<(Duration, u64)>,
    requests: BTreeMap<u64, WaitingRequest>,
    start: u64,
    /// Number of requests served since the workspace last had none waiting.
    turns: u32,
}

impl SlotOrder {
    /// Most requests that wait at once; more could not begin within any first-byte target.
    pub const MAX_WAITING: usize = 1_024;
    /// Each turn of a workspace with this number goes to its oldest request.
    pub const OLDEST_TURN: u32 = 4;
    /// Longest slot time that is charged for one request. An absurd figure must not keep its workspace from its share
    /// for longer.
    const MAX_SLOT_TIME: Duration = Duration::from_secs(60);
    /// Weights of the ranks 0, 1 and all others. Each rank gets twice the share of the next one, since with strict
    /// priority the next one would get nothing under lasting excess load of the first.
    const WEIGHTS: [u64; 3] = [4, 2, 1];

    /// Returns whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.count
    }

    /// Adds a request unless the queue is full, and returns whether it was added.
    pub fn push(&mut self, mut request: WaitingRequest) -> bool {
        if self.count >= Self::MAX_WAITING {
            return false;
        }
        request.slot_time = request.slot_time.min(Self::MAX_SLOT_TIME);
        self.count += 1;
        let rank = self.ranks.entry(request.rank).or_default();
        if rank.is_idle() {
            rank.start = rank.start.max(self.virtual_time);
        }
        let virtual_time = rank.virtual_time;
        let workspace = rank
            .workspaces
            .entry(request.workspace.clone())
            .or_default();
        if workspace.requests.is_empty() {
            workspace.start = workspace.start.max(virtual_time);
            workspace.turns = 0;
        }
        workspace.by_due.insert((request.due, request.number));
        workspace.requests.insert(request.number, request);
        true
    }

    /// Returns the next request.
    #[must_use]
    pub fn peek(&self) -> Option<&WaitingRequest> {
        let (_, _, _, workspace) = self.next_share()?;
        workspace.next()
    }

    /// Removes the next request and returns it. Its slot time counts as used by its rank and workspace.
    pub fn pop(&mut self) -> Option<WaitingRequest> {
        let (rank_number, rank, name, _) = self.next_share()?;
        let (rank_number, name, rank_start) = (rank_number, name.clone(), rank.start);
        let rank = self.ranks.get_mut(&rank_number)?;
        let workspace = rank.workspaces.get_mut(&name)?;
        let number = workspace.next()?.number;
        let request = workspace.take(number)?;
        let cost = (request.slot_time.as_micros() as u64).max(1);
        self.virtual_time = rank_start;
        rank.virtual_time = workspace.start;
        workspace.start += cost;
        workspace.turns += 1;
        rank.start += cost / Self::weight(rank_number);
        self.finish_removal();
        Some(request)
    }

    /// Removes a request that waits no longer and returns it.
    pub fn remove(&mut self, number: u64) -> Option<WaitingRequest> {
        let mut workspaces = self.ranks.values_mut();
        let request = workspaces
            .find_map(|rank| rank.workspaces.values_mut().find_map(|w| w.take(number)))?;
        self.finish_removal();
        Some(request)
    }

    /// Returns the slot time of the waiting requests that would go before `request`, if nothing else arrived.
    #[must_use]
    pub fn slot_time_before(&self, request: &WaitingRequest) -> Duration {
        let slot_time = request.slot_time.min(Self::MAX_SLOT_TIME);
        let Some(rank) = self.ranks.get(&request.rank) else {
            return self.slot_time_of_ranks(request.rank, slot_time);
        };
        let own = rank.workspaces.get(&request.workspace);
        let own = own.map_or(Duration::ZERO, |workspace| {
            let before = workspace.by_due.range(..(request.due, request.number));
            let before = before.filter_map(|(_, number)| workspace.requests.get(number));
            before.map(|waiting| waiting.slot_time).sum()
        });
        // Another workspace gets no more than this one until the request's turn comes.
        let turn = own + slot_time;
        let others = rank.workspaces.iter();
        let others = others.filter(|(name, _)| **name != request.workspace);
        let others = others.map(|(_, workspace)| workspace.slot_time().min(turn));
        let of_rank = own + others.sum::<Duration>();
        of_rank + self.slot_time_of_ranks(request.rank, of_rank + slot_time)
    }

    fn weight(rank: u8) -> u64 {
        Self::WEIGHTS[usize::from(rank).min(Self::WEIGHTS.len() - 1)]
    }

    /// Returns the slot time that the other ranks get while `own` goes to requests of `rank`.
    fn slot_time_of_ranks(&self, rank: u8, own: Duration) -> Duration {
        let others = self.ranks.iter().filter(|(other, _)| **other != rank);
        let others = others.map(|(other, share)| {
            let most = own.mul_f64(Self::weight(*other) as f64 / Self::weight(rank) as f64);
            let waiting: Duration = share
                .workspaces
                .values()
                .map(WorkspaceShare::slot_time)
                .sum();
            waiting.min(most)
        });
        others.sum()
    }

    /// Returns the rank and the workspace whose turn it is.
    fn next_share(&self) -> Option<(u8, &RankShare, &Option<WorkspaceId>, &WorkspaceShare)> {
        let ranks = self.ranks.iter().filter(|(_, rank)| !rank.is_idle());
        let (number, rank) = ranks.min_by_key(|(_, rank)| rank.start)?;
        let workspaces = rank.workspaces.iter();
        let workspaces = workspaces.filter(|(_, workspace)| !workspace.requests.is_empty());
        let (name, workspace) = workspaces.min_by_key(|(_, workspace)| workspace.start)?;
        Some((*number, rank, name, workspace))
    }

    /// Counts a request out. Shares of those without a waiting request are forgotten once they are no longer ahead of
    /// the others.
    fn finish_removal(&mut self) {
        self.count -= 1;
        if self.count == 0 {
            *self = Self::default();
            return;
        }
        for rank in self.ranks.values_mut() {
            let virtual_time = rank.virtual_time;
            rank.workspaces.retain(|_, workspace| {
                !workspace.requests.is_empty() || workspace.start > virtual_time
            });
        }
    }
}

impl RankShare {
    fn is_idle(&self) -> bool {
        self.workspaces.values().all(|w| w.requests.is_empty())
    }
}

impl WorkspaceShare {
    /// Returns the request whose turn it is within the workspace.
    fn next(&self) -> Option<&WaitingRequest> {
        let is_oldest_turn = self.turns % SlotOrder::OLDEST_TURN == SlotOrder::OLDEST_TURN - 1;
        let number = match is_oldest_turn {
            true => *self.requests.first_key_value()?.0,
            false => self.by_due.first()?.1,
        };
        self.requests.get(&number)
    }

    /// Returns the slot time of all waiting requests.
    fn slot_time(&self) -> Duration {
        self.requests
            .values()
            .map(|waiting| waiting.slot_time)
            .sum()
    }

    fn take(&mut self, number: u64) -> Option<WaitingRequest> {
        let request = self.requests.remove(&number)?;
        self.by_due.remove(&(request.due, number));
        Some(request)
    }
}
