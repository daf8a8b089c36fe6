//! Which requests a VM that has been asked to stop still passes on.

use {
    ebonystand_core::{AnswerTime, CallKind, Departure},
    rstest::rstest,
    std::time::Duration,
};

const ASKED: Duration = Duration::from_secs(100);
const LINGER: Duration = Duration::from_secs(2);
const DRAIN: Duration = Duration::from_millis(5_600);
const CERTAIN_AFTER: Duration = Duration::from_millis(2_500);

fn after(ms: u64) -> Duration {
    ASKED + Duration::from_millis(ms)
}

/// Guards against orders that a leaving VM sends on and ends before their answers are due.
#[rstest]
#[case::answer_in_time(3_600, true)]
#[case::answer_too_late(3_601, false)]
#[case::answer_long_after_the_end(4_800, false)]
fn a_call_that_must_not_run_twice_is_sent_on_only_if_it_is_due_in_time(
    #[case] at_ms: u64,
    #[case] is_admitted: bool,
) {
    let departure = Departure::new(ASKED, LINGER, DRAIN, CERTAIN_AFTER);
    let now = after(at_ms);
    let (due, expected) = (now + Duration::from_secs(4), Duration::from_millis(60));
    let answer = AnswerTime::new(CallKind::Once, due, Some(expected));
    assert_eq!(departure.admits(now, &answer), is_admitted);
}

#[rstest]
#[case::quick(7_000, 100, true)]
#[case::slow(7_000, 700, false)]
#[case::slower_than_its_bound(7_000, 60_000, false)]
#[case::early(0, 7_600, true)]
fn a_look_up_with_an_expected_time_is_sent_on_if_its_answer_comes_in_time(
    #[case] at_ms: u64,
    #[case] expected_ms: u64,
    #[case] is_admitted: bool,
) {
    let departure = Departure::new(ASKED, LINGER, DRAIN, CERTAIN_AFTER);
    let now = after(at_ms);
    let (due, expected) = (
        now + Duration::from_secs(12),
        Duration::from_millis(expected_ms),
    );
    let answer = AnswerTime::new(CallKind::Idempotent, due, Some(expected));
    assert_eq!(departure.admits(now, &answer), is_admitted);
}

/// Guards against rare long streams that a leaving VM begins because most are short, and breaks off.
#[rstest]
#[case::early(2_499, 12_000, 500, true)]
#[case::early_and_expected_too_late(2_499, 12_000, 5_200, false)]
#[case::late(2_500, 12_000, 500, false)]
#[case::late_and_due_in_time(2_500, 5_100, 500, true)]
#[case::late_and_due_too_late(2_500, 5_101, 500, false)]
#[case::at_the_last(7_000, 600, 60_000, true)]
fn a_late_stream_is_sent_on_only_if_it_is_certain_to_end_in_time(
    #[case] at_ms: u64,
    #[case] left_ms: u64,
    #[case] expected_ms: u64,
    #[case] is_admitted: bool,
) {
    let departure = Departure::new(ASKED, LINGER, DRAIN, CERTAIN_AFTER);
    let now = after(at_ms);
    let due = now + Duration::from_millis(left_ms);
    let expected = Some(Duration::from_millis(expected_ms));
    let answer = AnswerTime::new(CallKind::Stream, due, expected);
    assert_eq!(departure.admits(now, &answer), is_admitted);
}

/// Guards against a stream that is broken off on its way through a leaving VM although another one could pass it on.
#[rstest]
#[case::stream(CallKind::Stream, 7_601, false)]
#[case::stream_due_in_time(CallKind::Stream, 7_600, true)]
#[case::look_up(CallKind::Idempotent, 7_601, true)]
#[case::order(CallKind::Once, 7_601, false)]
fn an_answer_is_certain_if_the_end_of_the_vm_cannot_cut_it_off(
    #[case] kind: CallKind,
    #[case] due_ms: u64,
    #[case] is_certain: bool,
) {
    let departure = Departure::new(ASKED, LINGER, DRAIN, CERTAIN_AFTER);
    let answer = AnswerTime::new(kind, after(due_ms), Some(Duration::from_millis(500)));
    assert_eq!(departure.is_certain(after(0), &answer), is_certain);
}

#[test]
fn a_request_that_is_refused_in_time_anyway_is_sent_on() {
    let departure = Departure::new(ASKED, LINGER, DRAIN, CERTAIN_AFTER);
    let expected = Some(Duration::from_secs(60));
    let answer = AnswerTime::new(CallKind::Idempotent, departure.ends(), expected);
    assert!(departure.admits(after(7_000), &answer));
}

#[rstest]
#[case::others_while_named(1_999, true, true)]
#[case::others_afterwards(2_000, true, false)]
#[case::last_vm(4_799, false, true)]
#[case::last_vm_at_the_end(4_800, false, false)]
fn the_last_vm_of_a_region_takes_requests_for_longer(
    #[case] at_ms: u64,
    #[case] has_others: bool,
    #[case] takes: bool,
) {
    let departure = Departure::new(ASKED, LINGER, DRAIN, CERTAIN_AFTER);
    assert_eq!(departure.takes_requests(after(at_ms), has_others), takes);
}

/// Guards against two VMs of a region that leave one after the other and both end early, as each one relies on the other.
#[rstest]
#[case::later(1_000, "vm-1", true)]
#[case::earlier(-1_000, "vm-3", false)]
#[case::at_once_with_a_higher_name(100, "vm-3", true)]
#[case::at_once_with_a_lower_name(100, "vm-1", false)]
fn of_two_leaving_vms_one_outlasts_the_other(
    #[case] later_by_ms: i64,
    #[case] other: &str,
    #[case] is_outlasted: bool,
) {
    let asked = |later_by_ms: i64| {
        let ms = i64::try_from(ASKED.as_millis()).unwrap() + later_by_ms;
        Duration::from_millis(ms as u64)
    };
    let plan = |ms| Departure::new(asked(ms), LINGER, DRAIN, CERTAIN_AFTER);
    let (own, other) = ("vm-2".into(), other.into());
    let outlasted = plan(0).is_outlasted_by(&own, &other, asked(later_by_ms));
    assert_eq!(outlasted, is_outlasted);
    let outlasts = plan(later_by_ms).is_outlasted_by(&other, &own, asked(0));
    assert_eq!(outlasts, !is_outlasted);
}
