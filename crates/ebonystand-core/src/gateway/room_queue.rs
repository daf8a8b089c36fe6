use super::*;

/// Queue of the requests that wait on one VM until an upstream of a service has room.
///
/// A request that waits here can still be abandoned, sent elsewhere or overtaken, unlike one that waits in an
/// upstream. The order is that of [`SlotQueue`]: ranks share the room by weight in expected slot time, workspaces of a
/// rank equally, and within a workspace the request that is due first goes first.
#[derive(Clone, Debug)]
pub struct RoomQueue {
    own: VmId,
    queue: SlotQueue,
    /// Requests that left for an upstream within [`Self::RATE_TIME`], with their expected slot time in milliseconds.
    taken: VecDeque<(Duration, u32)>,
    /// Time since which requests wait without a break.
    waits_since: Duration,
}

/// Request that waits for room on one VM.
#[derive(Clone, Copy, Debug)]
pub struct RoomRequest<'a> {
    /// Time by which it should begin.
    pub begin_by: Duration,
    /// Time for which it is expected to hold a slot.
    pub hold: Duration,
    /// Longest time that it may wait here.
    pub max_wait: Duration,
    /// Number of the request, unique on the VM.
    pub number: u32,
    /// Priority rank; 0 is served first.
    pub rank: u8,
    /// Prompt tokens that an upstream has to read; 1 for a plain call.
    pub work: Tokens,
    /// Workspace whose share of the room it takes from; `None` on a public route.
    pub workspace: Option<&'a str>,
}

impl RoomQueue {
    /// Time over which the rate is measured at which room comes free.
    const RATE_TIME: Duration = Duration::from_millis(500);
    /// Time for which requests must have waited before the rate says anything.
    const MIN_RATE_TIME: Duration = Duration::from_millis(60);

    /// Creates the queue of the VM `own`.
    #[must_use]
    pub fn new(own: VmId) -> Self {
        Self {
            own,
            queue: SlotQueue::default(),
            taken: VecDeque::new(),
            waits_since: Duration::ZERO,
        }
    }

    /// Returns whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Adds a request, unless the queue is full or the request's turn would come too late.
    ///
    /// # Errors
    /// The time after which its turn is expected.
    pub fn push(&mut self, now: Duration, request: RoomRequest<'_>) -> Result<(), Duration> {
        let slot = self.waiting_slot(request);
        let wait = self.expected_wait(now, &slot);
        if let Some(wait) = wait.filter(|wait| *wait > request.max_wait) {
            return Err(wait);
        }
        if self.is_empty() {
            self.waits_since = now;
        }
        match self.queue.push(slot) {
            true => Ok(()),
            false => Err(wait.unwrap_or(request.max_wait)),
        }
    }

    /// Removes the request whose turn it is and returns its number. `fits` tells whether an upstream has room for so
    /// many prompt tokens.
    pub fn take(&mut self, now: Duration, fits: impl Fn(Tokens) -> bool) -> Option<u32> {
        let slot = self.queue.take(Self::any_upstream(), fits)?;
        let is_recent = |at: Duration| now.saturating_sub(at) < Self::RATE_TIME;
        while self.taken.front().is_some_and(|(at, _)| !is_recent(*at)) {
            self.taken.pop_front();
        }
        self.taken.push_back((now, slot.request.hold_ms.max(1)));
        Some(slot.number)
    }

    /// Removes a request that waits no longer.
    pub fn remove(&mut self, number: u32) {
        self.queue.remove(&self.own, number);
    }

    /// Returns the time after which a request's turn is expected, from the slot time that goes before it and the rate
    /// at which room came free lately; `None` if too little is known.
    fn expected_wait(&self, now: Duration, slot: &WaitingSlot) -> Option<Duration> {
        let waited = now.saturating_sub(self.waits_since).min(Self::RATE_TIME);
        if self.is_empty() || waited < Self::MIN_RATE_TIME {
            return None;
        }
        let taken = self.taken.iter();
        let taken = taken.filter(|(at, _)| now.saturating_sub(*at) < waited);
        // One request more than has left may be about to leave.
        let taken = taken.map(|(_, hold_ms)| f64::from(*hold_ms)).sum::<f64>()
            + f64::from(slot.request.hold_ms.max(1));
        let ahead = self.queue.work_ahead(slot.begin_by, &slot.request);
        Some(waited.mul_f64((ahead / taken).min(Self::MAX_WAITS)))
    }

    /// Largest expected wait, as a multiple of the time over which the rate is measured.
    const MAX_WAITS: f64 = 100.0;

    fn waiting_slot(&self, request: RoomRequest<'_>) -> WaitingSlot {
        let millis = |time: Duration| u32::try_from(time.as_millis()).unwrap_or(u32::MAX);
        WaitingSlot {
            begin_by: request.begin_by,
            number: request.number,
            overtaken: 0,
            request: SlotRequest {
                begin_ms: millis(request.max_wait),
                engines: vec![SlotOffer {
                    engine: Self::any_upstream(),
                    unread: request.work,
                }],
                hold_ms: millis(request.hold.min(Self::MAX_HOLD)),
                rank: request.rank,
                start_ms: 0,
                workspace: request.workspace.unwrap_or_default().into(),
            },
            vm: self.own.clone(),
        }
    }

    /// Longest slot time that a request is charged for.
    const MAX_HOLD: Duration = Duration::from_secs(60);

    /// Returns the key that stands for all upstreams of the service.
    fn any_upstream() -> UpstreamKey {
        UpstreamKey::from("")
    }
}

/// Returns the time after which a refused caller should come back, if room is expected after `wait`.
///
/// Returns are spread at `random` over the first-byte target `aim`. Callers wait no longer than a third of the time
/// `left` to them, and those told more would all return at that moment; the spread therefore ends there, and covers at
/// least the second half of the time before.
#[must_use]
pub fn spread_return(wait: Duration, aim: Duration, left: Duration, random: u64) -> Duration {
    let last = (wait + aim).min(left / 3);
    let first = wait.min(last / 2);
    first + (last - first).mul_f64(random as f64 / u64::MAX as f64)
}
