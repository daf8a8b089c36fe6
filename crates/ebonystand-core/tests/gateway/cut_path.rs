//! A VM that has lost its own path to the upstreams of its region.

use {super::*, rstest::rstest};

/// Two services in region `a`, and service `s` in region `b`.
fn upstreams() -> Vec<ListedUpstream> {
    let mut other = listed("o1", "a-1", 4);
    other.service = "o".into();
    vec![
        listed("u1", "a-1", 1),
        listed("u2", "a-2", 2),
        listed("u3", "b-1", 3),
        other,
    ]
}

fn cut(book: &mut UpstreamBook, service: &str) {
    assert!(book.suspect_path(ms(0), service));
    assert_eq!(book.record_probe(ms(1), service, false), ProbeOutcome::Lost);
}

fn forwarded_to(book: &UpstreamBook, sets: &Sets) -> Option<Box<str>> {
    match book.choose_target(ms(10), &sets.query(None)) {
        TargetChoice::Forward { region, .. } => Some(region),
        _ => None,
    }
}

#[test]
fn a_request_goes_to_a_vm_of_the_same_region_while_the_path_is_cut() {
    let mut book = book(upstreams());
    let mut sets = Sets {
        reachable: set(&["a", "b"]),
        ..Sets::default()
    };
    assert_eq!(forwarded_to(&book, &sets), None);
    cut(&mut book, "s");
    assert_eq!(forwarded_to(&book, &sets).as_deref(), Some("a"));
    sets.homes = Some(set(&["b"]));
    assert_eq!(forwarded_to(&book, &sets).as_deref(), Some("b"));
    sets.homes = Some(set(&["a"]));
    assert_eq!(forwarded_to(&book, &sets).as_deref(), Some("a"));
}

/// Guards against a region that refuses all requests because none of its VMs has a path, although another region has room.
#[test]
fn a_request_goes_to_another_region_if_no_vm_of_its_own_has_a_path() {
    let mut book = book(upstreams());
    cut(&mut book, "s");
    let sets = Sets {
        reachable: set(&["b"]),
        ..Sets::default()
    };
    assert_eq!(forwarded_to(&book, &sets).as_deref(), Some("b"));
}

/// Guards against a request that is refused without a try when no other VM can be asked.
#[test]
fn a_vm_without_others_tries_its_upstreams_although_the_path_is_cut() {
    let mut book = book(upstreams());
    cut(&mut book, "s");
    let choice = book.choose_target(ms(10), &Sets::default().query(None));
    assert!(instance(&choice).is_some(), "{choice:?}");
}

#[test]
fn a_vm_is_cut_off_once_it_reaches_no_service() {
    let mut book = book(upstreams());
    cut(&mut book, "s");
    assert!(!book.is_cut_off());
    assert!(!book.is_path_cut("o"));
    cut(&mut book, "o");
    assert!(book.is_cut_off());
}

/// Guards against requests that are lost on a path that comes and goes.
#[test]
fn a_cut_path_is_back_after_two_rounds_of_probes() {
    let mut book = book(upstreams());
    cut(&mut book, "s");
    let probe = |book: &mut UpstreamBook, is_reached| book.record_probe(ms(500), "s", is_reached);
    assert_eq!(probe(&mut book, true), ProbeOutcome::StillCut);
    assert_eq!(probe(&mut book, false), ProbeOutcome::StillCut);
    assert_eq!(probe(&mut book, true), ProbeOutcome::StillCut);
    assert_eq!(probe(&mut book, true), ProbeOutcome::Regained);
    assert!(!book.is_path_cut("s"));
}

/// Guards against probes without end while a few requests fail on a path that is sound.
#[test]
fn a_path_that_was_just_probed_is_not_probed_again() {
    let mut book = book(upstreams());
    assert!(book.suspect_path(ms(0), "s"));
    assert!(!book.suspect_path(ms(1), "s"));
    assert_eq!(book.record_probe(ms(2), "s", true), ProbeOutcome::Sound);
    assert!(!book.suspect_path(ms(400), "s"));
    assert!(book.suspect_path(ms(600), "s"));
}

/// Guards against probes, which a starved VM may fail, of a sound path over which this VM itself chose to send nothing.
#[rstest]
#[case::departing(AttemptEnd::Departing, false)]
#[case::quarantined(AttemptEnd::Quarantined, false)]
#[case::answered(AttemptEnd::Answered, false)]
#[case::lost(AttemptEnd::Lost, true)]
#[case::silent(AttemptEnd::TimedOut, true)]
#[case::not_connected(AttemptEnd::Unreachable, true)]
fn an_attempt_that_this_vm_ended_itself_says_nothing_of_the_path(
    #[case] end: AttemptEnd,
    #[case] may_lack_path: bool,
) {
    assert_eq!(end.may_lack_path(), may_lack_path);
}

#[test]
fn probes_go_to_upstreams_of_different_zones_first() {
    let book = book(upstreams());
    for draw in 0..20 {
        let targets = book.probe_targets("s", &[], draw);
        assert_eq!(targets.len(), 2);
        assert_eq!(
            book.probe_targets("s", &["u1".into()], draw),
            [listed("u2", "a-2", 2).address]
        );
    }
}

/// Guards against cut VMs that take a sound zone away from those that reach it.
#[test]
fn misses_of_a_cut_vm_leave_a_zone_to_the_others() {
    let mut cut_vm = book_of("vm1", vec![listed("u1", "a-1", 1)]);
    let mut sound_vm = book_of("vm2", vec![listed("u1", "a-1", 1)]);
    let vms = region_vms(["vm1".into(), "vm2".into()]);
    cut_vm.set_vms(ms(0), &vms);
    sound_vm.set_vms(ms(0), &vms);
    let sets = Sets::default();
    let query = sets.query(None);
    cut_vm.suspect_path(ms(0), "s");
    for n in 0..50 {
        let now = ms(20 * n);
        cut_vm.record_sent(now, &query, "u1", 0);
        cut_vm.record_attempt_end(now, "u1", AttemptEnd::Unreachable, ms(1));
        for (_, message) in cut_vm.build_load_messages(now) {
            sound_vm.receive_load_message(now, &"vm1".into(), message);
        }
        let choice = sound_vm.choose_target(now, &query);
        let TargetChoice::Upstream { is_sound, .. } = choice else {
            panic!("{choice:?}");
        };
        assert!(is_sound);
    }
}
