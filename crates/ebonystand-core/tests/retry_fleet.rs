//! The retry budgets of many VMs together, with restarts and retries that arrive late.

mod common;

use {
    common::ms,
    ebonystand_core::*,
    rand::{RngExt as _, SeedableRng as _},
    rand_pcg::Pcg64Mcg,
    rstest::rstest,
    std::{cmp::Reverse, collections::BinaryHeap, time::Duration},
};

/// Retries that a fleet may make for each request, in permille.
const RATIO_PERMILLE: u64 = 200;
const SPAN: Duration = Duration::from_secs(60);
const TICK: Duration = Duration::from_millis(10);

/// A fleet and what happens to it.
struct Play {
    arrival: Arrival,
    /// Share of the requests that fail while upstreams fail, in percent.
    percent_failing: u32,
    /// Mean time between two restarts of all VMs; `None` if none restarts.
    restarts_every: Option<Duration>,
    /// Retries that the fleet may make in a window beyond the ratio.
    slack: u64,
    /// Mean number of requests of one VM in ten seconds.
    vm_requests: f64,
    vms: usize,
}

/// When a granted retry reaches its upstream.
#[derive(Clone, Copy, Debug)]
enum Arrival {
    /// Within so many milliseconds.
    Within(u64),
    /// With all others at the next multiple of so many milliseconds, as processes that stood still wake.
    Together(u64),
}

impl Arrival {
    fn time(self, now: Duration, rng: &mut Pcg64Mcg) -> Duration {
        match self {
            Self::Within(most) => now + ms(rng.random_range(0..most)),
            Self::Together(every) => ms((now.as_millis() as u64 / every + 1) * every),
        }
    }
}

/// What callers sent and upstreams got.
struct Seen {
    refused: usize,
    requests: Vec<Duration>,
    retries: Vec<Duration>,
}

impl Play {
    fn run(&self, seed: u64) -> Seen {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let preset = Preset {
            retry_budget_permille: RATIO_PERMILLE,
            ..Preset::default()
        };
        let mut budgets = (0..self.vms)
            .map(|_| self.start(Duration::ZERO))
            .collect::<Vec<_>>();
        // A VM that restarts hears nothing of the retries that its predecessor sent.
        let mut starts = vec![0_u32; self.vms];
        let mut pending = BinaryHeap::<Reverse<(Duration, usize, u32)>>::new();
        let mut seen = Seen {
            refused: 0,
            requests: Vec::new(),
            retries: Vec::new(),
        };
        let (mut fails, mut changes_at) = (false, ms(10_000));
        let per_tick = self.vm_requests * TICK.as_secs_f64() / 10.0;
        let mut now = Duration::ZERO;
        while now < SPAN {
            now += TICK;
            if now >= changes_at {
                fails = !fails;
                changes_at = now + ms(rng.random_range(1_000..15_000));
            }
            let restarts_every = self.restarts_every.unwrap_or(Duration::MAX).as_secs_f64();
            if rng.random_bool((TICK.as_secs_f64() / restarts_every).min(1.0)) {
                for vm in 0..self.vms {
                    budgets[vm] = self.start(now);
                    starts[vm] += 1;
                }
            }
            while let Some(Reverse((at, vm, start))) = pending.peek().copied()
                && at <= now
            {
                pending.pop();
                seen.retries.push(at);
                if starts[vm] == start {
                    budgets[vm].record_arrival();
                }
            }
            for vm in 0..self.vms {
                let mut expected = per_tick;
                while expected > 0.0 {
                    let comes = rng.random_bool(expected.min(1.0));
                    expected -= 1.0;
                    if !comes {
                        continue;
                    }
                    seen.requests.push(now);
                    budgets[vm].record_request(now, &preset);
                    if !fails || rng.random_range(0..100) >= self.percent_failing {
                        continue;
                    }
                    match budgets[vm].try_retry(now, Retryable::Idempotent, &preset) {
                        RetryGrant::Budget => {
                            let at = self.arrival.time(now, &mut rng);
                            pending.push(Reverse((at, vm, starts[vm])));
                        }
                        RetryGrant::Free | RetryGrant::Refused => seen.refused += 1,
                    }
                }
            }
        }
        seen
    }

    fn start(&self, now: Duration) -> RetryBudget {
        let mut budget = RetryBudget::of_fleet(now);
        budget.set_fleet_minimum(self.slack, self.vms);
        budget
    }

    /// Largest share of the bound that the retries of a window reach. The requests are those of the window, of the one
    /// before or of the one half a window before.
    fn largest_share(&self, seen: &Seen) -> f64 {
        let window = RetryBudget::WINDOW;
        let count = |times: &[Duration], start: Duration, end: Duration| {
            let before = |limit: Duration| times.partition_point(|at| *at < limit);
            before(end) - before(start)
        };
        let starts = (0..)
            .map(|n| n * 5 * TICK)
            .take_while(|start| *start < SPAN);
        let shares = starts.map(|start| {
            let requests = [Duration::ZERO, window / 2, window].map(|back| {
                count(
                    &seen.requests,
                    start.saturating_sub(back),
                    start + window - back,
                )
            });
            let requests = requests.into_iter().max().unwrap_or_default() as u64;
            let bound = RATIO_PERMILLE * requests / 1_000 + self.slack;
            count(&seen.retries, start, start + window) as f64 / bound as f64
        });
        shares.fold(0.0, f64::max)
    }
}

/// Guards against VMs whose budgets add up to more than the fleet may retry: by restarts, by retries that arrive long
/// after their grant, or by the least retries of each VM.
#[rstest]
fn retries_of_a_fleet_stay_within_its_bound(
    #[values((9, 54), (300, 630), (1_000, 1_040), (2_200, 1_040))] fleet: (usize, u64),
    #[values(2.0, 12.0, 90.0)] vm_requests: f64,
    #[values(None, Some(8_000), Some(2_000), Some(500))] restarts_every: Option<u64>,
    #[values(
        Arrival::Within(50),
        Arrival::Within(1_500),
        Arrival::Within(8_000),
        Arrival::Together(4_000),
        Arrival::Together(9_900)
    )]
    arrival: Arrival,
) {
    let (vms, slack) = fleet;
    let seeds = if vms < 100 { 20 } else { 1 };
    for seed in 0..seeds {
        let play = Play {
            arrival,
            percent_failing: 100,
            restarts_every: restarts_every.map(ms),
            slack,
            vm_requests,
            vms,
        };
        let share = play.largest_share(&play.run(seed));
        assert!(share <= 1.0, "seed {seed}: {share:.2} of the bound");
    }
}

/// Guards against a bound that is kept by refusing retries that the fleet could make: on days on which a tenth of the
/// requests fail, hardly any is refused.
#[rstest]
#[case(9, 54, 12.0)]
#[case(9, 54, 90.0)]
#[case(300, 630, 90.0)]
#[case(1_000, 1_040, 90.0)]
fn retries_of_few_failures_are_granted(
    #[case] vms: usize,
    #[case] slack: u64,
    #[case] vm_requests: f64,
) {
    let play = Play {
        arrival: Arrival::Within(200),
        percent_failing: 10,
        restarts_every: None,
        slack,
        vm_requests,
        vms,
    };
    let seen = play.run(1);
    let asked = seen.refused + seen.retries.len();
    let refused = 100 * seen.refused / asked;
    assert!(refused <= 5, "{} of {asked} refused", seen.refused);
}
