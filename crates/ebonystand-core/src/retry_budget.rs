use super::*;

/// Retries that one VM may add to the load, as a share of its recent requests.
///
/// When many upstreams fail at once each failed one would otherwise come back as several, and the
/// upstreams that are left would drown in retries of requests that fail again.
///
/// The bound holds for any span of [`Self::WINDOW`], wherever it begins. Counted in two windows
/// that turn together, retries at the end of one and at the beginning of the next but one would add
/// up to twice the share.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    /// The newest last.
    parts: VecDeque<Part>,
}

/// What came in one [`RetryBudget::PART`].
#[derive(Clone, Copy, Debug, Default)]
struct Part {
    number: u64,
    requests: u64,
    retries: u64,
}

impl RetryBudget {
    /// Retries that a VM may make in a window however few requests it has.
    pub const MIN_RETRIES: u64 = 3;
    /// Span that the bound holds for.
    pub const WINDOW: Duration = Duration::from_secs(10);
    /// Time for which a retry counts beyond the window: it reaches its upstream later than it is
    /// granted, by a connection that has to be opened in another region at most.
    const DELAY: Duration = Duration::from_millis(500);
    /// Resolution.
    const PART: Duration = Duration::from_millis(500);

    /// Counts a request of a caller.
    pub fn record_request(&mut self, now: Duration) {
        self.part(now).requests += 1;
    }

    /// Takes a retry from the budget, if the request may be repeated and the budget of
    /// [`Preset::retry_budget_permille`] has one left. A request of which nothing was sent put no
    /// load on the upstream that it met closed, so that another try of it costs no budget: held to
    /// it, requests within their rate failed while most upstreams were up.
    pub fn try_retry(&mut self, now: Duration, retryable: Retryable, preset: &Preset) -> bool {
        match retryable {
            Retryable::Idempotent => {}
            Retryable::Never => return false,
            Retryable::NotStarted => return true,
        }
        let current = self.part(now).number;
        let parts = |span: Duration| (span.as_millis() / Self::PART.as_millis()) as u64;
        let since = |span| move |part: &&Part| part.number + parts(span) > current;
        let retries = self
            .parts
            .iter()
            .filter(since(Self::WINDOW + Self::DELAY + Self::PART));
        let retries = retries.map(|part| part.retries).sum::<u64>();
        let requests = self.parts.iter().filter(since(Self::WINDOW));
        let requests = requests.map(|part| part.requests).sum::<u64>();
        let allowed = requests * preset.retry_budget_permille / 1_000;
        if retries >= allowed.max(Self::MIN_RETRIES) {
            return false;
        }
        self.part(now).retries += 1;
        true
    }

    /// The part that `now` lies in; parts that count no more are dropped.
    fn part(&mut self, now: Duration) -> &mut Part {
        let number = (now.as_millis() / Self::PART.as_millis()) as u64;
        let kept = Self::WINDOW + Self::DELAY + Self::PART;
        let kept = (kept.as_millis() / Self::PART.as_millis()) as u64;
        while self
            .parts
            .front()
            .is_some_and(|part| part.number + kept <= number)
        {
            self.parts.pop_front();
        }
        if self.parts.back().is_none_or(|part| part.number < number) {
            let part = Part {
                number,
                ..Part::default()
            };
            self.parts.push_back(part);
        }
        let last = self.parts.len() - 1;
        &mut self.parts[last]
    }
}
