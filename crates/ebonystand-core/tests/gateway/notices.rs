//! Pauses that upstreams ask for, and leaving that they announce in answers.

use {
    super::*,
    rand::{RngExt, SeedableRng},
    rand_pcg::Pcg64Mcg,
    rstest::rstest,
};

/// Guards against values that take an upstream out of use, or back into it, by mistake.
#[rstest]
#[case::whole(&["3"], Some(ms(3_000)))]
#[case::with_fractions(&[" 0.25 "], Some(ms(250)))]
#[case::zero(&["0"], Some(ms(0)))]
#[case::huge(&["1000000000000000000000"], Some(AnswerPause::MAX))]
#[case::negative(&["-3"], None)]
#[case::not_a_number(&["NaN"], None)]
#[case::infinite(&["inf"], None)]
#[case::exponent(&["1e3"], None)]
#[case::empty(&[""], None)]
#[case::date(&["Wed, 21 Oct 2026 07:28:00 GMT"], None)]
#[case::twice(&["3", "3"], None)]
#[case::absent(&[], None)]
fn a_pause_is_a_decimal_number_of_seconds(
    #[case] values: &[&str],
    #[case] requested: Option<Duration>,
) {
    let pause = AnswerPause::parse(values.iter().copied());
    assert_eq!(pause.requested(), requested, "{pause:?}");
    let is_absent = pause == AnswerPause::Absent;
    assert_eq!(is_absent, values.is_empty());
}

fn choose(book: &UpstreamBook, at: u64) -> Option<Box<str>> {
    let sets = Sets::default();
    instance(&book.choose_target(ms(at), &sets.query(None))).map(Into::into)
}

/// Sends a request that is answered at once.
fn send(book: &mut UpstreamBook, at: u64, end: AttemptEnd) {
    let sets = Sets::default();
    let query = sets.query(None);
    book.record_sent(ms(at), &query, "u1", 0);
    let first_byte = (end == AttemptEnd::Answered).then(|| ms(1));
    book.record_first_byte(ms(at), "u1", 0, ms(800), first_byte);
    book.record_attempt_end(ms(at), "u1", end, ms(1));
}

/// Guards against a pause that ends before its time: by a shorter one, by an answer without one, by the list.
#[test]
fn a_pause_lasts_for_its_time() {
    let listed = listed("u1", "a-1", 1);
    let mut book = book(vec![listed.clone()]);
    assert!(book.record_pause(ms(0), "u1", ms(3_000)));
    assert!(!book.record_pause(ms(100), "u1", ms(500)));
    send(&mut book, 200, AttemptEnd::Answered);
    book.update_list(ms(300), ListScope::AllRegions, [listed]);
    assert_eq!(choose(&book, 2_999), None);
    assert_eq!(choose(&book, 3_000).as_deref(), Some("u1"));
}

/// Guards against the requests that a pause held back arriving together at its end.
#[rstest]
#[case::answered(AttemptEnd::Answered, true)]
#[case::turned_away(AttemptEnd::Shed, false)]
fn one_request_probes_an_upstream_after_its_pause(#[case] end: AttemptEnd, #[case] is_open: bool) {
    let mut book = book(vec![listed("u1", "a-1", 1)]);
    book.record_pause(ms(0), "u1", ms(1_000));
    let sets = Sets::default();
    book.record_sent(ms(1_000), &sets.query(None), "u1", 0);
    assert_eq!(choose(&book, 1_001), None);
    assert!(!book.has_room(ms(1_001), "s", true, 0));
    let first_byte = (end == AttemptEnd::Answered).then(|| ms(1));
    book.record_first_byte(ms(1_010), "u1", 0, ms(800), first_byte);
    book.record_attempt_end(ms(1_010), "u1", end, ms(10));
    book.record_sent(ms(1_020), &sets.query(None), "u1", 0);
    assert_eq!(choose(&book, 1_021).is_some(), is_open);
}

/// Guards against callers that are told to come back while all upstreams still pause.
#[test]
fn a_refused_caller_is_told_the_earliest_end_of_a_pause() {
    let mut book = book(vec![listed("u1", "a-1", 1), listed("u2", "a-1", 2)]);
    book.record_pause(ms(0), "u1", ms(9_000));
    book.record_pause(ms(0), "u2", ms(5_000));
    let sets = Sets::default();
    let choice = book.choose_target(ms(1_000), &sets.query(None));
    let TargetChoice::Unavailable {
        reason,
        retry_after,
    } = choice
    else {
        panic!("{choice:?}");
    };
    assert_eq!((reason.paused, retry_after), (2, ms(4_000)));
}

/// Guards against a pause, or the end of an instance, that its successor at the address inherits.
#[test]
fn another_instance_inherits_nothing() {
    let mut book = book(vec![listed("u1", "a-1", 1)]);
    book.record_pause(ms(0), "u1", ms(9_000));
    book.record_leaving("u1");
    let successor = listed("u2", "a-1", 1);
    book.update_list(ms(100), ListScope::AllRegions, [successor]);
    assert_eq!(choose(&book, 5_000).as_deref(), Some("u2"));
    assert_eq!(book.notices(ms(5_000)).count(), 0);
}

/// Guards against an older list that brings an upstream back which has said that it leaves.
#[test]
fn an_upstream_that_leaves_by_its_answers_stays_away() {
    let mut book = book(vec![listed("u1", "a-1", 1)]);
    assert!(book.record_leaving("u1"));
    assert!(!book.record_leaving("u1"));
    book.update_list(ms(100), ListScope::AllRegions, [listed("u1", "a-1", 1)]);
    assert_eq!(choose(&book, 60_000), None);
    assert!(!book.has_room(ms(60_000), "s", true, 0));
    assert!(book.is_end_expected("u1"));
}

/// Guards against any order of answers, lists and requests in which an upstream gets more than two requests within
/// a pause from a VM that it has told.
#[test]
fn no_order_of_events_sends_requests_into_a_pause() {
    for seed in 0..200 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut book = book(vec![listed("u1", "a-1", 1), listed("u2", "a-2", 2)]);
        let mut ends = BTreeMap::<Box<str>, u64>::new();
        for step in 0..2_000_u64 {
            let at = step * 10;
            match rng.random_range(0..10) {
                0 => {
                    let upstream = ["u1", "u2"][rng.random_range(0..2)];
                    let pause = rng.random_range(0..3_000);
                    book.record_pause(ms(at), upstream, ms(pause));
                    let end = ends.entry(upstream.into()).or_default();
                    *end = (*end).max(at + pause);
                }
                1 => {
                    let both = [listed("u1", "a-1", 1), listed("u2", "a-2", 2)];
                    book.update_list(ms(at), ListScope::AllRegions, both);
                }
                _ => {
                    let Some(chosen) = choose(&book, at) else {
                        continue;
                    };
                    let end = ends.get(&chosen).copied().unwrap_or_default();
                    assert!(at >= end, "seed {seed}: sent at {at}, pause until {end}");
                    let sets = Sets::default();
                    book.record_sent(ms(at), &sets.query(None), &chosen, 0);
                    let waited = rng.random_bool(0.8).then(|| ms(1));
                    book.record_first_byte(ms(at), &chosen, 0, ms(800), waited);
                    let end = waited.map_or(AttemptEnd::Lost, |_| AttemptEnd::Answered);
                    book.record_attempt_end(ms(at), &chosen, end, ms(1));
                }
            }
        }
    }
}

/// Guards against VMs that together have an upstream turn away more requests than it bears: at any size of the region,
/// all of them come back less often than it tolerates.
#[rstest]
#[case::nine_vms(9, 4)]
#[case::sixty_seven_vms(67, 20)]
fn refusals_of_a_brittle_upstream_stay_within_its_tolerance(
    #[case] vms: usize,
    #[case] tolerance: u32,
) {
    const SECONDS: u64 = 30;
    let names = (0..vms).map(|n| format!("vm{n:02}")).collect::<Vec<_>>();
    let sets = Sets::default();
    let query = sets.query(None);
    let mut books = names
        .iter()
        .map(|vm| book_of(vm, vec![listed("u1", "a-1", 1)]))
        .collect::<Vec<_>>();
    for book in &mut books {
        book.set_vms(ms(0), &region_vms(names.iter().cloned()));
        book.record_shed_tolerance("u1", Some(tolerance));
    }
    let mut rng = Pcg64Mcg::seed_from_u64(5);
    let mut shed = Vec::new();
    for at in (0..SECONDS * 1_000).step_by(10) {
        for book in &mut books {
            let now = ms(at);
            let TargetChoice::Upstream { instance, .. } = book.choose_target(now, &query) else {
                continue;
            };
            book.record_sent(now, &query, &instance, 0);
            book.record_shed(now, &instance, rng.random());
            book.record_attempt_end(now, &instance, AttemptEnd::Shed, ms(1));
            shed.push(at);
        }
    }
    // All VMs learn at once, with the first request of each, that there is no room.
    let later = shed.iter().copied().filter(|at| *at > 0);
    let later = later.collect::<Vec<_>>();
    assert!(!later.is_empty());
    let in_a_second = later.iter().map(|start| {
        let window = start..&(start + 1_000);
        later.iter().filter(|at| window.contains(at)).count()
    });
    let most = in_a_second.max().unwrap_or_default();
    assert!(most <= tolerance as usize, "{most} in a second");
}
