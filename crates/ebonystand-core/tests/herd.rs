//! Routing by many VMs with the same stale load reports.

mod common;

use {
    common::*, ebonystand_core::*, std::cell::RefCell, std::collections::VecDeque,
    std::time::Duration,
};

const ANSWERS_PER_SECOND: usize = 20;
const SECONDS: u64 = 40;
const SLOTS: usize = 16;
const UPSTREAMS: usize = 10;
const VMS: usize = 9;
const WORK: Tokens = 300;

/// Requests at each upstream, as the index of the VM that sent them.
type Queues = Vec<VecDeque<usize>>;

/// Average ratio of the longest to the mean queue in thousandths, over the second half of the
/// seconds. Each second starts with a report of the queues and ends with `ANSWERS_PER_SECOND`
/// answers by each upstream. In between, every VM sends 18 requests, in total nine tenths of the
/// upstreams' capacity.
fn imbalance(
    mut send: impl FnMut(Duration, &mut Queues),
    mut answered: impl FnMut(Duration, usize, usize),
) -> usize {
    let mut queues = Queues::from(vec![VecDeque::new(); UPSTREAMS]);
    let mut sum = 0;
    for second in 0..SECONDS {
        let now = Duration::from_secs(second);
        send(now, &mut queues);
        let highest = queues.iter().map(VecDeque::len).max().unwrap_or_default();
        let total = queues.iter().map(VecDeque::len).sum::<usize>();
        if second >= SECONDS / 2 {
            sum += highest * UPSTREAMS * 1_000 / total;
        }
        for (upstream, queue) in queues.iter_mut().enumerate() {
            let count = queue.len().min(ANSWERS_PER_SECOND);
            queue
                .drain(..count)
                .for_each(|vm| answered(now + ms(999), vm, upstream));
        }
    }
    sum / (SECONDS / 2) as usize
}

fn send_by_routers(now: Duration, routers: &mut [Router], queues: &mut Queues) {
    let (target, residency) = (model(), regions(&["armor"]));
    let query = query(&target, &residency);
    let id = |upstream: usize| format!("armor-{upstream}");
    for (upstream, queue) in queues.iter().enumerate() {
        let waiting = queue.len().saturating_sub(SLOTS);
        let report = LoadReport {
            age: Duration::ZERO,
            queued_tokens: waiting as Tokens * WORK,
            running: queue.len().min(SLOTS) as u32,
            slots: SLOTS as u32,
            waiting: waiting as u32,
        };
        for router in &mut *routers {
            router.record_load_report(now, &id(upstream), report.clone());
        }
    }
    for n in 0..18 {
        for (vm, router) in routers.iter_mut().enumerate() {
            let now = now + ms(1 + n * 50);
            let route = router.route(now, &query).expect("below the limit");
            router.record_dispatch(now, &route.upstream, route.work);
            let upstream = route.upstream[6..].parse::<usize>().expect("a number");
            queues[upstream].push_back(vm);
        }
    }
}

/// Nine VMs see the same reports, which are up to a second old. If each sends to the upstream that
/// looks idlest, all send to the same one: its queue grows by the traffic of the whole fleet while
/// others are idle, and callers wait in it. The VMs must spread their requests although none sees
/// those of the others.
#[test]
fn vms_with_the_same_stale_reports_spread() {
    let mut document = document(&[UPSTREAMS, 0, 0]);
    for upstream in document.upstreams.values_mut() {
        upstream.speed = ANSWERS_PER_SECOND as u64 * WORK;
    }
    let routers = (0..VMS).map(|seed| {
        let mut router = Router::new(place("armor"), seed as u64);
        router.configure(Duration::ZERO, &document);
        router
    });
    let routers = RefCell::new(routers.collect::<Vec<_>>());
    let ours = imbalance(
        |now, queues| send_by_routers(now, &mut routers.borrow_mut(), queues),
        |now, vm, upstream| {
            let first_token = ms(100);
            let end = DispatchEnd::Answered { first_token };
            routers.borrow_mut()[vm].record_dispatch_end(now, &format!("armor-{upstream}"), end);
        },
    );
    let idlest = imbalance(
        |_, queues| {
            let idlest = (0..UPSTREAMS).min_by_key(|n| queues[*n].len());
            let idlest = idlest.expect("there are some");
            (0..18 * VMS).for_each(|n| queues[idlest].push_back(n % VMS));
        },
        |_, _, _| (),
    );
    println!("highest over mean load, permille: ours {ours}, least reported load {idlest}");
    assert!(ours <= 1_300, "{ours}");
    assert!(idlest >= 2_000, "{idlest}");
}
