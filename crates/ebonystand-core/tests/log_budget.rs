//! Choice of the log lines that are written when requests cause more than a VM can afford.

use {ebonystand_core::*, std::time::Duration};

const PER_S: u64 = 100;

/// Hash of the identifier of request `n`, spread over the whole range.
fn hash(n: u64) -> u64 {
    n.wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

/// Offers `load` requests per second with three lines each; returns the number of each request of
/// the last second, with how many of its lines were kept.
fn offer_lines(budget: &mut LogBudget, load: u64, seconds: u64) -> Vec<(u64, usize)> {
    let mut kept = Vec::new();
    for second in 0..seconds {
        kept.clear();
        for n in 0..load {
            let at = Duration::from_secs(10 + second) + Duration::from_micros(n * 1_000_000 / load);
            let lines = (0..3).filter(|_| budget.admit_line(at, LogKind::RequestStep, hash(n)));
            kept.push((n, lines.count()));
        }
    }
    kept
}

/// No line may be dropped while the load is within the budget.
#[test]
fn a_load_within_the_budget_loses_nothing() {
    let mut budget = LogBudget::new(PER_S);
    assert!(
        offer_lines(&mut budget, 30, 5)
            .iter()
            .all(|(_, lines)| *lines == 3)
    );
    assert_eq!(budget.take_dropped(), 0);
}

/// A request's trace is useless if one VM logs its lines and another drops them. One VM gets many
/// times the requests whose lines it can write, another far fewer. Each must keep all lines of a
/// request or none, and the other one must keep every request that the loaded one keeps.
#[test]
fn lines_of_a_request_are_kept_or_dropped_together_on_all_vms() {
    let (mut loaded, mut lightly_loaded) = (LogBudget::new(PER_S), LogBudget::new(PER_S));
    let on_loaded = offer_lines(&mut loaded, 2_000, 5);
    let on_lightly_loaded = offer_lines(&mut lightly_loaded, 300, 5);
    let whole = |kept: &[(u64, usize)]| {
        let parts = kept.iter().filter(|(_, lines)| ![0, 3].contains(lines));
        assert_eq!(parts.count(), 0);
        let kept = kept.iter().filter(|(_, lines)| *lines == 3);
        kept.map(|(n, _)| *n).collect::<Vec<_>>()
    };
    let (on_loaded, on_lightly_loaded) = (whole(&on_loaded), whole(&on_lightly_loaded));
    assert!(
        !on_loaded.is_empty() && on_loaded.len() <= 34,
        "{}",
        on_loaded.len()
    );
    let shared = on_loaded.iter().filter(|n| **n < 300);
    assert!(shared.clone().all(|n| on_lightly_loaded.contains(n)));
    assert!(loaded.take_dropped() > 0);
}

/// Lines about failures and about the VM itself must not be displaced by those of successful
/// requests, which alone exceed the budget here.
#[test]
fn failures_are_kept_before_steps_and_beliefs_before_both() {
    let mut budget = LogBudget::new(PER_S);
    offer_lines(&mut budget, 2_000, 3);
    let at = Duration::from_secs(20);
    let mut count = |kind| {
        (0..1_000)
            .filter(|n| budget.admit_line(at, kind, hash(*n)))
            .count() as u64
    };
    let steps = count(LogKind::RequestStep);
    let failures = count(LogKind::RequestFailure);
    let beliefs = count(LogKind::Vm);
    assert!(steps <= PER_S);
    assert_eq!(steps + failures, 2 * PER_S);
    assert_eq!(steps + failures + beliefs, 4 * PER_S);
}

/// The share of kept requests must recover after a burst, or a VM would go on dropping lines that
/// it can afford.
#[test]
fn all_lines_come_back_after_a_burst() {
    let mut budget = LogBudget::new(PER_S);
    offer_lines(&mut budget, 2_000, 3);
    let kept = offer_lines(&mut budget, 20, 12);
    assert!(kept.iter().all(|(_, lines)| *lines == 3));
}
