use super::*;

/// Limit on the retries of one VM, as a share of its requests.
///
/// When many upstreams fail at once, each failed request would otherwise cause several retries, and
/// the remaining upstreams would be overloaded by retries that fail again.
///
/// The budget is a bucket of retries that requests and time fill up to a reserve. A granted retry
/// keeps its place in the reserve until it has reached its upstream, however late that is. In any span
/// of [`Self::WINDOW`], the retries that arrive are therefore at most those that requests and time
/// earn in the span, and one reserve.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// Retries that may be granted now.
    available: f64,
    /// Requests per interval, the newest last.
    intervals: VecDeque<Interval>,
    /// Smallest reserve, in retries.
    min_reserve: f64,
    /// Retries that were granted and may still be on their way.
    pending: u32,
    /// Retries that time adds in a window, however few requests there are.
    refill: f64,
    /// Time until which the refill has been added.
    refilled: Duration,
    /// Sum of the intervals.
    requests: u64,
}

/// Requests of one interval of [`RetryBudget::INTERVAL`].
#[derive(Clone, Copy, Debug)]
struct Interval {
    /// Index of the interval since the start of the clock.
    number: u64,
    requests: u64,
}

impl Default for RetryBudget {
    /// Creates a budget that limits each VM alone. It starts full.
    fn default() -> Self {
        Self {
            available: Self::MIN_RETRIES as f64,
            ..Self::of_fleet(Duration::ZERO)
        }
    }
}

impl RetryBudget {
    /// Most retries that a VM may make in a window however few requests there are, and smallest
    /// reserve.
    pub const MIN_RETRIES: u64 = 3;
    /// Span in which the limit holds.
    pub const WINDOW: Duration = Duration::from_secs(10);
    /// Part of the share that a request adds to the bucket, in permille.
    const EARNED_PERMILLE: u64 = 700;
    /// Part of a fleet's common retries that VMs add to their buckets in a window.
    const FLEET_REFILL: f64 = 0.4;
    /// Part of a fleet's common retries that is for the reserves of its VMs.
    const FLEET_RESERVE: f64 = 0.4;
    /// Length of the intervals in which requests are counted.
    const INTERVAL: Duration = Duration::from_millis(500);
    /// Part of the share of a window's requests that the bucket holds, in permille. What remains of
    /// the share covers requests that are read long after they were sent.
    const RESERVE_PERMILLE: u64 = 250;

    /// Creates the budget of a VM of a fleet whose retries are limited together. It is empty at
    /// `started`, the start of the VM: VMs that restart again and again would otherwise have a
    /// reserve each time.
    #[must_use]
    pub fn of_fleet(started: Duration) -> Self {
        Self {
            available: 0.0,
            intervals: VecDeque::new(),
            min_reserve: Self::MIN_RETRIES as f64,
            pending: 0,
            refill: Self::MIN_RETRIES as f64,
            refilled: started,
            requests: 0,
        }
    }

    /// Limits the retries that are allowed however few requests there are to what `vms` VMs may make
    /// together beyond the share of all requests. What the reserves and the refill leave of that covers
    /// requests that are read long after they were sent.
    ///
    /// A bucket that can't hold a whole retry never grants one, so a VM's part of one retry or more is
    /// a reserve of one at least.
    pub fn set_fleet_minimum(&mut self, fleet_retries: u64, vms: usize) {
        let most = Self::MIN_RETRIES as f64;
        let part = fleet_retries as f64 / vms.max(1) as f64;
        self.min_reserve = match part < 1.0 {
            true => 0.0,
            false => (part * Self::FLEET_RESERVE).clamp(1.0, most),
        };
        let for_refill = part * (Self::FLEET_RESERVE + Self::FLEET_REFILL) - self.min_reserve;
        self.refill = for_refill.clamp(0.0, most);
    }

    /// Records a request from a caller.
    pub fn record_request(&mut self, now: Duration, preset: &Preset) {
        self.advance(now);
        let number = Self::interval_number(now);
        match self.intervals.back_mut() {
            Some(interval) if interval.number >= number => interval.requests += 1,
            _ => self.intervals.push_back(Interval {
                number,
                requests: 1,
            }),
        }
        self.requests += 1;
        self.fill(Self::part_of_share(preset, Self::EARNED_PERMILLE), preset);
    }

    /// Takes a retry from the budget; refuses it if the request must not be repeated or the budget is
    /// used up. The end of a retry that the budget has granted is recorded with
    /// [`Self::record_arrival`] or [`Self::give_back`].
    ///
    /// A request of which nothing was sent has put no load on the upstream, which refused the
    /// connection, so another attempt costs no budget. Otherwise, requests within their rate would
    /// fail while most upstreams are up.
    pub fn try_retry(
        &mut self,
        now: Duration,
        retryable: Retryable,
        preset: &Preset,
    ) -> RetryGrant {
        match retryable {
            Retryable::Idempotent => {}
            Retryable::Never => return RetryGrant::Refused,
            Retryable::NotStarted => return RetryGrant::Free,
        }
        self.advance(now);
        self.fill(0.0, preset);
        if self.available < 1.0 {
            return RetryGrant::Refused;
        }
        self.available -= 1.0;
        self.pending += 1;
        RetryGrant::Budget
    }

    /// Records that a granted retry has reached its upstream, or will not do so any more.
    pub fn record_arrival(&mut self) {
        self.pending = self.pending.saturating_sub(1);
    }

    /// Takes back a granted retry of which nothing was sent.
    pub fn give_back(&mut self) {
        self.pending = self.pending.saturating_sub(1);
        self.available += 1.0;
    }

    /// Returns the state of the budget, which is that of `service`.
    pub fn status(&mut self, now: Duration, service: &str, preset: &Preset) -> RetryBudgetStatus {
        self.advance(now);
        self.fill(0.0, preset);
        RetryBudgetStatus {
            available: self.available,
            pending: self.pending,
            requests: self.requests,
            reserve: self.reserve(preset),
            service: service.into(),
        }
    }

    /// Adds what time has refilled, and drops intervals that lie before the window.
    fn advance(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.refilled);
        self.refilled = self.refilled.max(now);
        self.available += self.refill * elapsed.as_secs_f64() / Self::WINDOW.as_secs_f64();
        let kept = (Self::WINDOW.as_millis() / Self::INTERVAL.as_millis()) as u64;
        let number = Self::interval_number(now);
        while let Some(oldest) = self.intervals.front()
            && oldest.number + kept <= number
        {
            self.requests -= oldest.requests;
            self.intervals.pop_front();
        }
    }

    /// Adds retries to the bucket, as far as they and those on their way fit its reserve.
    fn fill(&mut self, retries: f64, preset: &Preset) {
        let room = (self.reserve(preset) - f64::from(self.pending)).max(0.0);
        self.available = (self.available + retries).min(room);
    }

    /// Most retries that are available and on their way together.
    fn reserve(&self, preset: &Preset) -> f64 {
        let share = Self::part_of_share(preset, Self::RESERVE_PERMILLE);
        (share * self.requests as f64).max(self.min_reserve)
    }

    fn interval_number(now: Duration) -> u64 {
        (now.as_millis() / Self::INTERVAL.as_millis()) as u64
    }

    /// Retries for each request that are a part, in permille, of the preset's share.
    fn part_of_share(preset: &Preset, permille: u64) -> f64 {
        let share = preset.retry_budget_permille as f64 / 1_000.0;
        share * permille as f64 / 1_000.0
    }
}
