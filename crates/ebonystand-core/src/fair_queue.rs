use super::*;

/// Queue of the requests that wait on this VM for an upstream slot. Start-time fair queueing shares
/// the slots between workspaces, by tokens of work.
///
/// In a plain queue, a workspace at ten times its rate holds most places and all other requests
/// wait behind it. Here the next request of a workspace starts no earlier than its previous ones
/// would have ended at an equal share, so a burst waits behind itself.
///
/// A running request cannot be preempted. A workspace with a long backlog therefore leaves some
/// slots free. Otherwise it would occupy every slot that the others do not use, and each of their
/// requests would wait for one of the burst's requests to end.
#[derive(Clone, Debug)]
pub struct FairQueue {
    backlogs: BTreeMap<WorkspaceId, Backlog>,
    capacity: Tokens,
    queued: Tokens,
    running: u32,
    slots: u32,
    virtual_time: Tokens,
}

impl FairQueue {
    /// Tokens by which a workspace is ahead of the others per step of engine priority.
    pub const PRIORITY_QUANTUM: Tokens = 2_000;

    /// Share of the slots, in thousandths, that a workspace with a burst leaves free.
    const RESERVE_PERMILLE: u32 = 320;

    /// Creates a queue for `slots` concurrent dispatches that holds up to `capacity` tokens of
    /// work.
    #[must_use]
    pub fn new(slots: u32, capacity: Tokens) -> Self {
        Self {
            backlogs: BTreeMap::new(),
            capacity,
            queued: 0,
            running: 0,
            slots: slots.max(1),
            virtual_time: 0,
        }
    }

    /// Removes a queued request whose caller has left.
    pub fn cancel(&mut self, workspace: &str, id: u64) -> Option<QueueEntry> {
        let backlog = self.backlogs.get_mut(workspace)?;
        let at = backlog
            .entries
            .iter()
            .position(|waiting| waiting.entry.id == id)?;
        let entry = backlog.entries.remove(at)?.entry;
        backlog.queued -= entry.work;
        self.queued -= entry.work;
        Some(entry)
    }

    /// Removes and returns the requests whose deadline has passed.
    pub fn remove_expired(&mut self, now: Duration) -> Vec<QueueEntry> {
        let mut expired = Vec::new();
        for backlog in self.backlogs.values_mut() {
            backlog.entries.retain(|waiting| {
                let is_past = waiting.entry.deadline.is_past(now);
                if is_past {
                    backlog.queued -= waiting.entry.work;
                    expired.push(waiting.entry.clone());
                }
                !is_past
            });
        }
        self.queued -= expired.iter().map(|entry| entry.work).sum::<Tokens>();
        expired
    }

    /// Records that a dispatch of the workspace has ended and frees its slot.
    pub fn record_dispatch_end(&mut self, workspace: &str) {
        self.running = self.running.saturating_sub(1);
        if let Some(backlog) = self.backlogs.get_mut(workspace) {
            backlog.running = backlog.running.saturating_sub(1);
        }
    }

    /// Removes and returns the next request to dispatch, if a slot is free for it. Call it until it
    /// returns none, after each [`Self::push`] that queues, [`Self::record_dispatch_end`] and
    /// [`Self::set_slots`].
    pub fn pop(&mut self) -> Option<QueueEntry> {
        if self.running >= self.slots {
            return None;
        }
        let is_only_reserve_left = self.is_only_reserve_left();
        let half_share = self.half_share();
        let backlog = self
            .backlogs
            .values_mut()
            .filter(|backlog| !backlog.entries.is_empty())
            .filter(|backlog| backlog.can_start(is_only_reserve_left, half_share))
            .min_by_key(|backlog| backlog.entries.front().map(|waiting| waiting.start))?;
        let WaitingEntry { entry, start } = backlog.entries.pop_front()?;
        backlog.queued -= entry.work;
        self.queued -= entry.work;
        backlog.running += 1;
        self.running += 1;
        self.virtual_time = self.virtual_time.max(start);
        self.remove_idle_backlogs();
        Some(entry)
    }

    /// Priority at the engine for the workspace's next request. It falls the further the workspace
    /// is ahead of the others.
    #[must_use]
    pub fn priority(&self, workspace: &str) -> Priority {
        let finish = self
            .backlogs
            .get(workspace)
            .map_or(0, |backlog| backlog.finish);
        Priority::from_lead(finish.saturating_sub(self.virtual_time) / Self::PRIORITY_QUANTUM)
    }

    /// Adds a request. In a full queue, the last entry of the workspace with the longest backlog is
    /// shed, so that one workspace's burst never costs another its place.
    pub fn push(&mut self, entry: QueueEntry) -> QueueOutcome {
        let work = entry.work;
        if self.running < self.slots && self.queued == 0 {
            let start = self.assign_start_tag(&entry.workspace, work);
            self.virtual_time = self.virtual_time.max(start);
            self.start_dispatch(&entry.workspace);
            return QueueOutcome::Started;
        }
        if self.queued + work <= self.capacity {
            self.enqueue(entry);
            return QueueOutcome::Queued;
        }
        let own = self.backlogs.get(&entry.workspace);
        let own = own.map_or(0, |backlog| backlog.queued) + work;
        let Some(shed) = self.shed_longest_backlog(own) else {
            return QueueOutcome::Shed {
                refusal: Self::refusal(),
            };
        };
        self.enqueue(entry);
        QueueOutcome::QueuedAfterShedding { shed }
    }

    /// Total work of the queued requests in tokens.
    #[must_use]
    pub fn queued_work(&self) -> Tokens {
        self.queued
    }

    /// Final answer to a request that is shed from the queue.
    #[must_use]
    pub fn refusal() -> Refusal {
        Refusal::not_run(RefusalCode::Overloaded, "too many requests are waiting")
            .with_retry_after(Duration::from_secs(1))
    }

    /// Sets the number of concurrent dispatches, at least 1.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots.max(1);
    }

    fn enqueue(&mut self, entry: QueueEntry) {
        let start = self.assign_start_tag(&entry.workspace, entry.work);
        self.queued += entry.work;
        let backlog = self.backlogs.entry(entry.workspace.clone()).or_default();
        backlog.queued += entry.work;
        backlog.entries.push_back(WaitingEntry { entry, start });
    }

    /// Removes workspaces that have no queued or running requests and are not ahead of the virtual
    /// time.
    fn remove_idle_backlogs(&mut self) {
        let virtual_time = self.virtual_time;
        self.backlogs.retain(|_, backlog| {
            !backlog.entries.is_empty() || backlog.running > 0 || backlog.finish > virtual_time
        });
    }

    /// Whether no slots beyond the reserve are free.
    fn is_only_reserve_left(&self) -> bool {
        let reserve = self.slots * Self::RESERVE_PERMILLE / 1_000;
        self.slots.saturating_sub(self.running) <= reserve
    }

    /// Half of an equal share of the slots between the workspaces in the queue, and at least one
    /// slot.
    fn half_share(&self) -> u32 {
        let active = self.backlogs.len().max(1) as u32;
        (self.slots / active / 2).max(1)
    }

    fn start_dispatch(&mut self, workspace: &str) {
        self.running += 1;
        if let Some(backlog) = self.backlogs.get_mut(workspace) {
            backlog.running += 1;
        }
        self.remove_idle_backlogs();
    }

    /// Removes and returns the last entry of the longest backlog, if that backlog exceeds `own`
    /// tokens.
    fn shed_longest_backlog(&mut self, own: Tokens) -> Option<QueueEntry> {
        let longest = self
            .backlogs
            .values_mut()
            .max_by_key(|backlog| backlog.queued)
            .filter(|backlog| backlog.queued > own)?;
        let WaitingEntry { entry, start } = longest.entries.pop_back()?;
        longest.finish = start;
        longest.queued -= entry.work;
        self.queued -= entry.work;
        Some(entry)
    }

    /// Assigns the virtual start time of the workspace's next request, and advances the workspace's
    /// finish time by `work`.
    fn assign_start_tag(&mut self, workspace: &str, work: Tokens) -> Tokens {
        if !self.backlogs.contains_key(workspace) {
            self.backlogs.insert(workspace.into(), Backlog::default());
        }
        let Some(backlog) = self.backlogs.get_mut(workspace) else {
            return self.virtual_time;
        };
        let start = backlog.finish.max(self.virtual_time);
        backlog.finish = start + work;
        start
    }
}
