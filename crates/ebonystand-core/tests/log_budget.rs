//! Which log lines are kept under load.

use {ebonystand_core::*, std::time::Duration};

const PER_S: u64 = 100;

/// Hash of the name of request `n`, spread over all numbers.
fn hash(n: u64) -> u64 {
    n.wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

/// Plays `load` requests a second of three lines each; numbers of the requests of the last second by
/// how many of their lines were kept.
fn play(budget: &mut LogBudget, load: u64, seconds: u64) -> Vec<(u64, usize)> {
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

#[test]
fn a_load_within_the_budget_loses_nothing() {
    let mut budget = LogBudget::new(PER_S);
    assert!(
        play(&mut budget, 30, 5)
            .iter()
            .all(|(_, lines)| *lines == 3)
    );
    assert_eq!(budget.take_dropped(), 0);
}

/// A VM gets many times the requests whose lines it can write, another one fewer. On both the lines of
/// a request are there or not, all of them, and whoever is kept on the loaded one is kept on the other.
#[test]
fn lines_of_a_request_are_kept_or_dropped_together_on_all_vms() {
    let (mut loaded, mut calm) = (LogBudget::new(PER_S), LogBudget::new(PER_S));
    let on_loaded = play(&mut loaded, 2_000, 5);
    let on_calm = play(&mut calm, 300, 5);
    let whole = |kept: &[(u64, usize)]| {
        let parts = kept.iter().filter(|(_, lines)| ![0, 3].contains(lines));
        assert_eq!(parts.count(), 0);
        let kept = kept.iter().filter(|(_, lines)| *lines == 3);
        kept.map(|(n, _)| *n).collect::<Vec<_>>()
    };
    let (on_loaded, on_calm) = (whole(&on_loaded), whole(&on_calm));
    assert!(
        !on_loaded.is_empty() && on_loaded.len() <= 34,
        "{}",
        on_loaded.len()
    );
    let shared = on_loaded.iter().filter(|n| **n < 300);
    assert!(shared.clone().all(|n| on_calm.contains(n)));
    assert!(loaded.take_dropped() > 0);
}

#[test]
fn failures_are_kept_before_steps_and_beliefs_before_both() {
    let mut budget = LogBudget::new(PER_S);
    play(&mut budget, 2_000, 3);
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

#[test]
fn all_lines_come_back_after_a_burst() {
    let mut budget = LogBudget::new(PER_S);
    play(&mut budget, 2_000, 3);
    let kept = play(&mut budget, 20, 12);
    assert!(kept.iter().all(|(_, lines)| *lines == 3));
}
