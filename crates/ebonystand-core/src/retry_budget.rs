use super::*;

/// Limit on the retries of one VM, as a share of its recent requests.
///
/// When many upstreams fail at once, each failed request would otherwise cause several retries, and
/// the remaining upstreams would be overloaded by retries that fail again.
///
/// The limit holds in any span of [`Self::WINDOW`], wherever it begins. Counted in two alternating
/// windows, retries at the end of one window and at the beginning of the next but one could add up
/// to twice the share.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// Counts per interval, the newest last.
    intervals: VecDeque<Interval>,
    /// Number of retries allowed in a window however few requests there are.
    min_retries: u64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            intervals: VecDeque::new(),
            min_retries: Self::MIN_RETRIES,
        }
    }
}

/// Counts of one interval of [`RetryBudget::INTERVAL`].
#[derive(Clone, Copy, Debug, Default)]
struct Interval {
    /// Index of the interval since the start of the clock.
    number: u64,
    requests: u64,
    retries: u64,
}

impl RetryBudget {
    /// Most retries allowed in a window however few requests there are.
    pub const MIN_RETRIES: u64 = 3;
    /// Span in which the limit holds.
    pub const WINDOW: Duration = Duration::from_secs(10);
    /// Time that a retry counts beyond the window. It reaches its upstream later than it is
    /// granted, by at most the time to open a connection in another region.
    const ARRIVAL_DELAY: Duration = Duration::from_millis(500);
    /// Length of the intervals in which requests and retries are counted.
    const INTERVAL: Duration = Duration::from_millis(500);

    /// Limits the retries that are allowed however few requests there are to an equal part of what
    /// `vms` VMs may make together. Hundreds of VMs with a few retries each would otherwise add up
    /// to more than the share of all requests.
    pub fn set_fleet_minimum(&mut self, fleet_retries: u64, vms: usize) {
        let vms = u64::try_from(vms).unwrap_or(u64::MAX).max(1);
        self.min_retries = (fleet_retries / vms).min(Self::MIN_RETRIES);
    }

    /// Records a request from a caller.
    pub fn record_request(&mut self, now: Duration) {
        self.interval_at(now).requests += 1;
    }

    /// Takes a retry from the budget; refuses it if the request must not be repeated or the share of
    /// [`Preset::retry_budget_permille`] is used up.
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
        let current = self.interval_at(now).number;
        let interval_count =
            |span: Duration| (span.as_millis() / Self::INTERVAL.as_millis()) as u64;
        let since =
            |span| move |interval: &&Interval| interval.number + interval_count(span) > current;
        let retries = self
            .intervals
            .iter()
            .filter(since(Self::WINDOW + Self::ARRIVAL_DELAY + Self::INTERVAL));
        let retries = retries.map(|interval| interval.retries).sum::<u64>();
        let requests = self.intervals.iter().filter(since(Self::WINDOW));
        let requests = requests.map(|interval| interval.requests).sum::<u64>();
        let allowed = requests * preset.retry_budget_permille / 1_000;
        if retries >= allowed.max(self.min_retries) {
            return RetryGrant::Refused;
        }
        self.interval_at(now).retries += 1;
        RetryGrant::Budget
    }

    /// Counts of the interval that contains `now`; drops intervals that no longer matter.
    fn interval_at(&mut self, now: Duration) -> &mut Interval {
        let number = (now.as_millis() / Self::INTERVAL.as_millis()) as u64;
        let kept_intervals = Self::WINDOW + Self::ARRIVAL_DELAY + Self::INTERVAL;
        let kept_intervals = (kept_intervals.as_millis() / Self::INTERVAL.as_millis()) as u64;
        while self
            .intervals
            .front()
            .is_some_and(|interval| interval.number + kept_intervals <= number)
        {
            self.intervals.pop_front();
        }
        if self
            .intervals
            .back()
            .is_none_or(|interval| interval.number < number)
        {
            let interval = Interval {
                number,
                ..Interval::default()
            };
            self.intervals.push_back(interval);
        }
        let last = self.intervals.len() - 1;
        &mut self.intervals[last]
    }
}
