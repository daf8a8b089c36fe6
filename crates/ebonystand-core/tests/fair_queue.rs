//! Fair queueing between a workspace at ten times its rate and others within theirs.

mod common;

use {
    common::ms,
    ebonystand_core::*,
    rand::{RngExt, SeedableRng},
    rand_pcg::Pcg64Mcg,
    rstest::rstest,
    std::{collections::BTreeSet, time::Duration},
};

const SLOTS: u32 = 16;
const WORK: Tokens = 300;

fn entry(id: u64, workspace: &str, deadline: Duration) -> QueueEntry {
    QueueEntry {
        deadline: Deadline::new(Duration::ZERO, Some(deadline), &Preset::default()),
        id,
        work: WORK,
        workspace: workspace.into(),
    }
}

/// A request of the simulation, with its arrival and service time in milliseconds.
struct Arrival {
    service: u64,
    since: u64,
    workspace: usize,
}

/// Arrivals of five workspaces over ten minutes, with random intervals and service times of half a
/// second on average. Each workspace uses `load` thousandths of a fifth of the slots, and the first
/// one `times` as much.
fn arrivals(load: u64, times: u64) -> Vec<Arrival> {
    let mut rng = Pcg64Mcg::seed_from_u64(3);
    let mut arrivals = Vec::new();
    let mut exponential = |mean: f64| (-mean * (1.0 - rng.random::<f64>()).ln()) as u64;
    let usual = 500.0 * 5.0 * 1_000.0 / (f64::from(SLOTS) * load as f64);
    for workspace in 0..5 {
        let mean = usual / if workspace == 0 { times as f64 } else { 1.0 };
        let mut since = 0;
        while since < 600_000 {
            since += exponential(mean);
            let service = 1 + exponential(499.0);
            arrivals.push(Arrival {
                service,
                since,
                workspace,
            });
        }
    }
    arrivals.sort_by_key(|arrival| arrival.since);
    arrivals
}

/// Sorted waits in milliseconds of all workspaces but the first one, and the number of their
/// requests that were shed.
fn simulate(load: u64, times: u64) -> (Vec<u64>, usize) {
    let arrivals = arrivals(load, times);
    let name = |id: usize| format!("w{}", arrivals[id].workspace);
    let mut queue = FairQueue::new(SLOTS, 200 * WORK);
    let mut ends = BTreeSet::new();
    let mut waits = Vec::new();
    let mut shed = 0;
    let mut next = 0;
    while next < arrivals.len() {
        let mut started = Vec::new();
        let now = match ends.first().copied() {
            Some((end, id)) if end <= arrivals[next].since => {
                ends.pop_first();
                queue.record_dispatch_end(&name(id));
                end
            }
            _ => {
                match queue.push(entry(next as u64, &name(next), ms(60_000))) {
                    QueueOutcome::Started => started.push(next),
                    QueueOutcome::QueuedAfterShedding { shed: entry } => {
                        shed += usize::from(&*entry.workspace != "w0");
                    }
                    QueueOutcome::Shed { .. } => shed += arrivals[next].workspace.min(1),
                    QueueOutcome::Queued => {}
                }
                next += 1;
                arrivals[next - 1].since
            }
        };
        started.extend(std::iter::from_fn(|| queue.pop()).map(|entry| entry.id as usize));
        for id in started {
            ends.insert((now + arrivals[id].service, id));
            waits.extend((arrivals[id].workspace > 0).then_some(now - arrivals[id].since));
        }
    }
    waits.sort_unstable();
    (waits, shed)
}

/// A workspace sends ten times its rate. In a plain queue the requests of the others would wait
/// behind its burst. Here they may wait at most a tenth longer, and none of them may be shed.
#[rstest]
fn a_burst_moves_the_others_waits_by_no_more_than_a_tenth(#[values(600, 800, 900)] load: u64) {
    let (calm, _) = simulate(load, 1);
    let (burst, shed) = simulate(load, 10);
    let figures = |waits: &[u64]| {
        let mean = waits.iter().sum::<u64>() / waits.len() as u64;
        [
            mean,
            waits[waits.len() * 99 / 100],
            waits[waits.len() * 999 / 1_000],
        ]
    };
    println!(
        "load {load}: calm {:?}, burst {:?} ms",
        figures(&calm),
        figures(&burst)
    );
    assert_eq!(shed, 0);
    assert!(figures(&burst)[1] * 10 <= figures(&calm)[1] * 11);
}

/// The queue is full of one workspace's requests. The first request of another must get a place,
/// and the next one of the burst must be refused at once.
#[test]
fn a_full_queue_sheds_the_longest_backlog() {
    let mut queue = FairQueue::new(1, 3 * WORK);
    let at = ms(1_000);
    assert_eq!(queue.push(entry(0, "burst", at)), QueueOutcome::Started);
    for id in 1..=3 {
        assert_eq!(queue.push(entry(id, "burst", at)), QueueOutcome::Queued);
    }
    let refused = queue.push(entry(4, "burst", at));
    assert!(matches!(refused, QueueOutcome::Shed { .. }));
    let shed = entry(3, "burst", at);
    assert_eq!(
        queue.push(entry(5, "calm", at)),
        QueueOutcome::QueuedAfterShedding { shed }
    );
    queue.record_dispatch_end("burst");
    let order = std::iter::from_fn(|| {
        let entry = queue.pop()?;
        queue.record_dispatch_end(&entry.workspace);
        Some(entry.id)
    });
    assert_eq!(order.collect::<Vec<_>>(), [5, 1, 2]);
}

/// While requests wait, one caller leaves and another's deadline passes. Neither request may be
/// sent to an upstream any more, and both places become free.
#[test]
fn what_nobody_waits_for_is_never_dispatched() {
    let mut queue = FairQueue::new(1, 10 * WORK);
    queue.push(entry(0, "a", ms(1_000)));
    queue.push(entry(1, "a", ms(1_000)));
    queue.push(entry(2, "a", ms(10)));
    queue.push(entry(3, "b", ms(1_000)));
    assert!(queue.cancel("a", 1).is_some());
    let expired = queue.remove_expired(ms(10));
    assert_eq!(
        expired.iter().map(|entry| entry.id).collect::<Vec<_>>(),
        [2]
    );
    assert_eq!(queue.queued_work(), WORK);
    queue.record_dispatch_end("a");
    assert_eq!(queue.pop().map(|entry| entry.id), Some(3));
}

/// A workspace with a backlog also gets the lowest priority at the engines, where its requests
/// compete with those that other VMs send for workspaces without a backlog.
#[test]
fn a_backlog_lowers_the_engine_priority() {
    let mut queue = FairQueue::new(1, 1_000 * WORK);
    for id in 0..150 {
        queue.push(entry(id, "burst", ms(1_000)));
    }
    queue.push(entry(150, "calm", ms(1_000)));
    assert_eq!(queue.priority("burst"), Priority::LOWEST);
    assert_eq!(queue.priority("calm").level(), 0);
}
