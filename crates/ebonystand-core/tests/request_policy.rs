//! Retry budgets, link budgets and entry lists.

mod common;

use {
    common::*,
    ebonystand_core::*,
    rand::SeedableRng,
    rand_pcg::Pcg64Mcg,
    rstest::rstest,
    std::{collections::BTreeSet, time::Duration},
};

/// Whether a VM's budget grants a retry of an idempotent request, which then arrives at once.
fn is_retried(budget: &mut RetryBudget, now: Duration, preset: &Preset) -> bool {
    let grant = budget.try_retry(now, Retryable::Idempotent, preset);
    if grant == RetryGrant::Budget {
        budget.record_arrival();
    }
    grant.is_granted()
}

/// Every request fails at the same time. Each one is worth a retry, but all retries together would
/// double the load on upstreams that are failing because of it.
#[test]
fn retries_stay_within_the_budget_while_everything_fails() {
    let preset = Preset::default();
    let mut budget = RetryBudget::default();
    let mut retries = 0;
    for n in 0..20_000 {
        budget.record_request(ms(n), &preset);
        retries += u64::from(is_retried(&mut budget, ms(n), &preset));
    }
    assert!((1_000..=2_100).contains(&retries), "{retries}");
}

/// Upstreams fail all requests for some seconds, recover, and fail again. In any span of ten
/// seconds, the retries may be at most a tenth of the requests. A budget counted in fixed windows
/// allows twice that, at the end of one window and the start of the next but one.
#[rstest]
#[case(4_000, 9_000)]
#[case(4_900, 10_100)]
#[case(9_900, 10_100)]
#[case(0, 5_000)]
fn no_span_has_more_retries_than_its_share(#[case] first_end: u64, #[case] second_start: u64) {
    let preset = Preset::default();
    let mut budget = RetryBudget::default();
    let mut retried = Vec::new();
    for n in 0..25_000 {
        budget.record_request(ms(n), &preset);
        let fails = n < first_end || n >= second_start;
        if fails && is_retried(&mut budget, ms(n), &preset) {
            retried.push(n);
        }
    }
    let window = RetryBudget::WINDOW.as_millis() as u64;
    let share = window * preset.retry_budget_permille / 1_000;
    let most = (0..15_000_u64).step_by(100).map(|start| {
        let within = |at: &&u64| (start..start + window).contains(*at);
        retried.iter().filter(within).count() as u64
    });
    let most = most.max().unwrap_or_default();
    assert!(most <= share, "{most} of {share}");
    assert!(most > share / 2, "{most} of {share}");
}

/// A VM that has had few requests may still retry some whose connection broke.
#[test]
fn a_quiet_vm_may_retry_a_few_times() {
    let mut budget = RetryBudget::default();
    budget.record_request(ms(0), &Preset::default());
    let mut retry = || is_retried(&mut budget, ms(1), &Preset::default());
    let granted = (0..10).filter(|_| retry()).count();
    assert_eq!(granted as u64, RetryBudget::MIN_RETRIES);
}

/// Guards against a VM that restarts again and again, and each time has the retries of a quiet VM anew.
#[test]
fn a_vm_that_has_just_started_in_a_fleet_may_not_retry() {
    let preset = Preset::default();
    let mut budget = RetryBudget::of_fleet(ms(60_000));
    budget.set_fleet_minimum(1_000, 7);
    budget.record_request(ms(60_100), &preset);
    assert!(!is_retried(&mut budget, ms(60_100), &preset));
    assert!(is_retried(&mut budget, ms(70_000), &preset));
}

/// Guards against a retry that arrives long after its grant and by then counts in no window.
#[test]
fn a_retry_on_its_way_takes_the_place_of_others() {
    let preset = Preset::default();
    let mut budget = RetryBudget::default();
    let retry = |budget: &mut RetryBudget, now| {
        let grant = budget.try_retry(now, Retryable::Idempotent, &preset);
        grant.is_granted()
    };
    let window = RetryBudget::WINDOW;
    let granted = (0..10).filter(|_| retry(&mut budget, window)).count();
    assert_eq!(granted as u64, RetryBudget::MIN_RETRIES);
    assert!(!retry(&mut budget, 4 * window));
    budget.record_arrival();
    assert!(!retry(&mut budget, 4 * window));
    let granted = (0..10).filter(|_| retry(&mut budget, 5 * window)).count();
    assert_eq!(granted, 1);
    budget.give_back();
    assert!(retry(&mut budget, 5 * window), "nothing of it was sent");
}

/// Each VM of a fleet has few requests, and all of them fail. Guards against a minimum that each VM
/// may retry and that adds up, over hundreds of VMs, to more than the fleet may.
#[rstest]
#[case(7)]
#[case(300)]
#[case(1_000)]
#[case(2_000)]
fn the_minima_of_all_vms_stay_within_the_fleets(#[case] vms: usize) {
    const FLEET_RETRIES: u64 = 1_000;
    let retries_of_a_vm = || {
        let mut budget = RetryBudget::default();
        budget.set_fleet_minimum(FLEET_RETRIES, vms);
        budget.record_request(ms(0), &Preset::default());
        let mut retry = || is_retried(&mut budget, ms(1), &Preset::default());
        (0..10).filter(|_| retry()).count() as u64
    };
    let retries = (0..vms).map(|_| retries_of_a_vm()).sum::<u64>();
    assert!(retries <= FLEET_RETRIES, "{retries}");
    if vms == 7 {
        assert_eq!(
            retries,
            7 * RetryBudget::MIN_RETRIES,
            "few VMs are not limited"
        );
    }
}

/// Four of ten engines are down and refuse connections, and a VM with little traffic tries them
/// again and again. Each request must still reach an engine that is up: such an attempt puts no
/// load on an engine, so it must not use up the budget for retries that do.
#[test]
fn a_request_that_was_not_sent_costs_no_budget() {
    let mut budget = RetryBudget::default();
    budget.record_request(ms(0), &Preset::default());
    let mut retry = |retryable| {
        budget
            .try_retry(ms(1), retryable, &Preset::default())
            .is_granted()
    };
    assert!((0..10).all(|_| retry(Retryable::NotStarted)));
    let granted = (0..10).filter(|_| retry(Retryable::Idempotent)).count();
    assert_eq!(granted as u64, RetryBudget::MIN_RETRIES);
}

/// A delivery order's connection breaks after its first byte was sent. The order may have run, and
/// a retry could ship it twice. An answer that the caller has partly received must not be restarted
/// either.
#[rstest]
#[case::not_sent(true, false, false, Retryable::NotStarted)]
#[case::sent_once_only(true, true, false, Retryable::Never)]
#[case::sent_lookup(false, true, false, Retryable::Idempotent)]
#[case::relayed(false, true, true, Retryable::Never)]
fn only_what_may_be_repeated_is_retried(
    #[case] once: bool,
    #[case] sent: bool,
    #[case] relayed: bool,
    #[case] expected: Retryable,
) {
    let retryable = Retryable::classify(once, sent, relayed);
    assert_eq!(retryable, expected);
    let mut budget = RetryBudget::default();
    let grant = budget.try_retry(ms(0), retryable, &Preset::default());
    let granted = grant.is_granted();
    assert_eq!(granted, expected != Retryable::Never);
}

/// A snapshot is sent over a link of a hundred megabits. It may use idle bandwidth, but requests
/// and heartbeats must keep their share, or the region would appear lost.
#[test]
fn bulk_leaves_room_for_requests_and_requests_for_control() {
    let link = Link {
        delay_ms: 15,
        megabits: 100,
    };
    let mut budget = LinkBudget::new(ms(0), &link, 1);
    let mut fill = |class| {
        let mut bytes = 0;
        while budget.try_take(ms(0), class, 10_000) {
            bytes += 10_000;
        }
        bytes
    };
    let taken = [
        TrafficClass::Bulk,
        TrafficClass::Request,
        TrafficClass::Control,
    ]
    .map(&mut fill);
    assert_eq!(taken, [6_250_000, 5_000_000, 1_250_000]);
    assert!(budget.time_until_available(ms(0), TrafficClass::Request, 1_000) > ms(100));
    assert_eq!(
        budget.time_until_available(ms(0), TrafficClass::Control, 0),
        Duration::ZERO
    );
}

fn vms() -> Vec<EntryVm> {
    let vm = |n: usize| EntryVm {
        address: ([127, 0, 0, 1], 7_000 + n as u16).into(),
        id: format!("vm-{n}").into(),
        leaving: n == 4,
        place: Place {
            region: REGIONS[n / 3].into(),
            zone: ["a", "a", "b"][n % 3].into(),
        },
    };
    (0..9).map(vm).collect()
}

/// A caller asks which VMs to use. A VM that is leaving or outside the key's residency would refuse
/// its requests, and one in another region would cost each request a slow link.
#[test]
fn an_entry_list_names_near_vms_first_and_no_leaving_or_foreign_one() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let residency = regions(&["armor", "argoat"]);
    for key in 0..50 {
        let caller = place("armor");
        let list = EntryList::new(&mut rng, &vms(), &residency, &caller, &format!("key-{key}"));
        let names = list.entries.iter().map(|vm| &*vm.id).collect::<Vec<_>>();
        assert_eq!(
            BTreeSet::from(["vm-0", "vm-1"]),
            names[..2].iter().copied().collect()
        );
        assert_eq!(names[2], "vm-2", "the other zone");
        assert_eq!(
            BTreeSet::from(["vm-3", "vm-5"]),
            names[3..].iter().copied().collect()
        );
    }
}

/// One large workspace has a single key. Its callers must not all choose the same VM.
#[test]
fn callers_of_one_key_spread_over_the_vms() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let residency = regions(&["armor"]);
    let mut first = || {
        let list = EntryList::new(&mut rng, &vms(), &residency, &place("iroise"), "key");
        list.entries[0].id.clone()
    };
    let firsts = (0..100).map(|_| first()).collect::<BTreeSet<_>>();
    assert!(firsts.len() > 1, "{firsts:?}");
}
