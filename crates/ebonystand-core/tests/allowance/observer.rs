//! Independent checks of what a fleet admitted, which use none of the code under test.

use super::*;

/// Rate and burst in force from a time on. A larger one before it counts for as long as VMs may
/// still act on it.
pub struct Bound {
    pub burst: Tokens,
    pub from: Duration,
    pub rate: Tokens,
}

/// Time for which VMs may act on a superseded configuration: its adoption and the leases made under
/// it.
const SUPERSEDED_FOR: Duration = Duration::from_millis(15_030);

/// Checks that the requests admitted in each window use at most burst + rate × time tokens. One
/// bucket over the fleet that never runs dry proves this for all windows at once.
pub fn check_windows(
    requests: &[Request],
    workspace: &str,
    bounds: &[Bound],
) -> Result<(), String> {
    let mut admitted: Vec<(Duration, Tokens)> = requests
        .iter()
        .filter(|request| &*request.workspace == workspace)
        .filter_map(|request| Some((request.admitted?, request.used)))
        .collect();
    admitted.sort_unstable();
    let mut level = bounds[0].burst as f64;
    let mut last = Duration::ZERO;
    for (at, used) in admitted {
        while last < at {
            let next = at.min(last + Duration::from_millis(1));
            let (rate, burst) = in_force(bounds, last);
            level = (level + rate * (next - last).as_secs_f64()).min(burst);
            last = next;
        }
        level -= used as f64;
        if level < -1e-3 {
            return Err(format!("{workspace}: {} tokens too many at {at:?}", -level));
        }
    }
    Ok(())
}

/// Largest rate and burst that a VM may act on at `at`.
fn in_force(bounds: &[Bound], at: Duration) -> (f64, f64) {
    let ends = |index: usize| {
        let next: Option<&Bound> = bounds.get(index + 1);
        next.map_or(Duration::MAX, |next| next.from + SUPERSEDED_FOR)
    };
    let active = bounds
        .iter()
        .enumerate()
        .filter(|(index, bound)| bound.from <= at && at < ends(*index));
    active.fold((0.0, 0.0), |(rate, burst), (_, bound)| {
        (
            f64::max(rate, bound.rate as f64),
            f64::max(burst, bound.burst as f64),
        )
    })
}

/// Counts requests that `admits` says were not admitted although a single bucket over the fleet
/// would have admitted them. That bucket is full when the first request arrives.
pub fn count_wrongful_refusals(requests: &[Request], admits: impl Fn(usize) -> bool) -> usize {
    let ideal = admitted_by_buckets(requests, 1, |_| "");
    (0..requests.len())
        .filter(|index| ideal[*index] && !admits(*index))
        .count()
}

/// Simulates `count` separate buckets with equal parts of rate and burst; returns which requests
/// they admit.
pub fn admitted_by_buckets<'a>(
    requests: &'a [Request],
    count: Tokens,
    bucket: impl Fn(&'a Request) -> &'a str,
) -> Vec<bool> {
    let (rate, burst) = ((RATE / count) as f64, (BURST / count) as f64);
    let mut levels: BTreeMap<&str, (f64, Duration)> = BTreeMap::new();
    let admit = |request: &'a Request| {
        let (level, last) = levels
            .entry(bucket(request))
            .or_insert((burst, Duration::ZERO));
        let gained = rate * (request.arrived - *last).as_secs_f64();
        *level = (*level + gained).min(burst);
        *last = request.arrived;
        let admits = *level >= request.reserved as f64;
        if admits {
            *level -= request.reserved as f64;
        }
        admits
    };
    requests.iter().map(admit).collect()
}
