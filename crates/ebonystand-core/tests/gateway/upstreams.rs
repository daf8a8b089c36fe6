//! Selection of the upstream or region for a request.

use {super::*, rstest::rstest};

fn three() -> Vec<ListedUpstream> {
    vec![
        listed("u1", "a-1", 1),
        listed("u2", "a-1", 2),
        listed("u3", "a-2", 3),
    ]
}

fn send(book: &mut UpstreamBook, now: Duration, query: &ChoiceQuery) -> Option<Box<str>> {
    let choice = book.choose_target(now, query);
    let TargetChoice::Upstream {
        instance, unread, ..
    } = choice
    else {
        return None;
    };
    book.record_sent(now, query, &instance, unread);
    Some(instance)
}

/// Delivers a load message in which another VM of the region reports its requests in flight.
fn tell(book: &mut UpstreamBook, now: Duration, vm: &str, upstream: &str, under_way: UnderWay) {
    let message = LoadMessage::Group {
        cached: Vec::new(),
        under_way: vec![(upstream.into(), under_way)],
    };
    book.receive_load_message(now, &vm.into(), message);
}

#[rstest]
#[case::evacuated(|sets: &mut Sets, _: &mut Vec<ListedUpstream>| sets.evacuated = set(&["a-1"]), Some("u3"))]
#[case::leaving(|_: &mut Sets, all: &mut Vec<ListedUpstream>| {
    all[0].leaving = true;
    all[2].leaving = true;
}, Some("u2"))]
#[case::other_service(|_: &mut Sets, all: &mut Vec<ListedUpstream>| {
    all[0].service = "t".into();
    all[1].service = "t".into();
}, Some("u3"))]
#[case::excluded(|sets: &mut Sets, _: &mut Vec<ListedUpstream>| {
    sets.excluded = vec!["u1".into(), "u3".into()];
}, Some("u2"))]
#[case::no_home(|sets: &mut Sets, _: &mut Vec<ListedUpstream>| sets.homes = Some(set(&["b"])), None)]
#[case::other_region(|_: &mut Sets, all: &mut Vec<ListedUpstream>| {
    all.iter_mut().for_each(|upstream| upstream.zone = "b-1".into());
}, None)]
fn only_upstreams_that_may_serve_it_get_a_request(
    #[case] change: fn(&mut Sets, &mut Vec<ListedUpstream>),
    #[case] wanted: Option<&str>,
) {
    let (mut sets, mut all) = (Sets::default(), three());
    change(&mut sets, &mut all);
    let book = book(all);
    for own in 0..50 {
        let prompt = prompt(own % 7, own);
        let choice = book.choose_target(ms(0), &sets.query(Some(&prompt)));
        assert_eq!(instance(&choice), wanted);
    }
}

/// Two VMs that have not exchanged any message get prompts with the same shared part. Both must
/// send them to the same engine, so that the part is read only once.
#[test]
fn vms_agree_without_a_message_where_a_shared_part_is_kept() {
    let sets = Sets::default();
    let (one, other) = (book(three()), book(three()));
    let mut used = BTreeSet::new();
    for shared in 0..40 {
        let (first, second) = (prompt(shared, 100), prompt(shared, 200));
        let first = one.choose_target(ms(0), &sets.query(Some(&first)));
        let second = other.choose_target(ms(0), &sets.query(Some(&second)));
        assert_eq!(instance(&first), instance(&second));
        used.extend(instance(&first).map(str::to_owned));
    }
    assert_eq!(used.len(), 3, "the parts are spread");
}

/// All prompts share one part. The engine that owns the part is loaded by them, and they must
/// spread before the other engines are left idle.
#[test]
fn a_part_that_all_share_does_not_load_one_engine_alone() {
    let sets = Sets::default();
    let mut book = book(three());
    let mut counts = BTreeMap::<Box<str>, u32>::new();
    for own in 0..30 {
        let prompt = prompt(7, own);
        let Some(instance) = send(&mut book, ms(own), &sets.query(Some(&prompt))) else {
            break;
        };
        *counts.entry(instance).or_default() += 1;
    }
    assert_eq!(counts.len(), 3, "{counts:?}");
}

/// VMs on the two sides of a cut must not count as two sets of senders to a cold upstream.
#[test]
fn a_cut_between_vms_adds_no_senders_to_a_cold_upstream() {
    let names = (0..12).map(|vm| format!("vm{vm}")).collect::<Vec<_>>();
    let mut cold = listed("u1", "a-1", 1);
    cold.cold_for = ms(9_000);
    let sets = Sets::default();
    let senders = names.iter().enumerate().filter(|(number, name)| {
        let mut book = book_of(name, vec![cold.clone()]);
        book.set_vms(ms(0), &region_vms(names.iter().cloned()));
        let side = names.chunks(6).nth(number / 6).expect("a side");
        book.set_vms(ms(5_000), &region_vms(side.iter().cloned()));
        send(&mut book, ms(5_100), &sets.query(None)).is_some()
    });
    assert_eq!(senders.count(), 3);
}

/// An upstream restarts cold while the VMs of its region are partitioned from one another. Each of
/// them sends as much as it may. In any second, however their requests are timed, they must
/// together send no more than the upstream tolerates, even if there are many more VMs than the
/// requests that it tolerates per second.
#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
#[case(5)]
#[case(22)]
#[case(44)]
fn vms_that_hear_nothing_of_each_other_keep_a_cold_upstream_within_its_bound(#[case] vms: u32) {
    let sets = Sets::default();
    let mut cold = listed("u1", "a-1", 1);
    cold.cold_for = ms(9_000);
    let mut sent = Vec::new();
    let live = region_vms((0..vms).map(|vm| format!("vm{vm}")));
    for vm in 0..vms {
        let mut book = book_of(&format!("vm{vm}"), vec![cold.clone()]);
        book.set_vms(ms(0), &live);
        for at in (0..8_000).step_by(7) {
            let now = ms(at + u64::from(vm) * 3);
            let sends = send(&mut book, now, &sets.query(None));
            if sends.is_some() {
                book.record_attempt_end(now, "u1", AttemptEnd::Answered, ms(5));
                sent.push(now);
            }
        }
    }
    let terms = service("s").cold;
    let bound = terms.per_s * 1.5 + 3.0;
    for start in &sent {
        let within = |at: &&Duration| **at >= *start && **at < *start + ms(1_000);
        let count = sent.iter().filter(within).count();
        assert!(
            count as f64 <= bound,
            "{count} in a second, {bound} allowed"
        );
    }
    assert!(sent.len() >= 8, "and it is not starved: {}", sent.len());
}

/// Upstreams of a zone may have become cold during its evacuation before the list shows it. Sent at
/// full rate, they would be overloaded.
#[test]
fn upstreams_of_a_zone_that_is_back_count_as_cold_at_first() {
    let sets = Sets::default();
    let mut book = book(vec![listed("u1", "a-1", 1)]);
    let count = |book: &mut UpstreamBook, from: u64| {
        let sends = (0..10).filter(|n| {
            let now = ms(from + n);
            let sends = send(book, now, &sets.query(None)).is_some();
            book.record_attempt_end(now, "u1", AttemptEnd::Answered, ms(1));
            sends
        });
        sends.count()
    };
    assert_eq!(count(&mut book, 5_000), 10);
    book.record_zone_return(ms(6_000), "a-1");
    assert_eq!(count(&mut book, 6_000), 1);
    assert_eq!(count(&mut book, 9_000), 10);
}

/// An upstream cannot be connected to. It must be passed over for a time that doubles, but if it is
/// the only one left it must be tried all the same.
#[test]
fn an_upstream_that_cannot_be_reached_is_passed_over_but_not_given_up() {
    let sets = Sets::default();
    let mut two = book(vec![listed("u1", "a-1", 1), listed("u2", "a-1", 2)]);
    two.record_attempt_end(ms(0), "u1", AttemptEnd::Unreachable, ms(1));
    let chosen = |book: &UpstreamBook, now| {
        let choice = book.choose_target(now, &sets.query(None));
        instance(&choice).map(str::to_owned)
    };
    assert_eq!(chosen(&two, ms(10)).as_deref(), Some("u2"));
    let mut one = book(vec![listed("u1", "a-1", 1)]);
    one.record_attempt_end(ms(0), "u1", AttemptEnd::Unreachable, ms(1));
    assert_eq!(chosen(&one, ms(10)).as_deref(), Some("u1"));
}

/// Every upstream fails nearly half of its requests. None may be passed over for that: the others
/// are no better, and all traffic would leave the region.
#[test]
fn upstreams_that_fail_part_of_their_requests_go_on_being_used() {
    let sets = Sets::default();
    let mut book = book(three());
    for n in 0..200 {
        let query = sets.query(None);
        let sent = send(&mut book, ms(n * 10), &query).expect("an upstream");
        let end = match n % 2 {
            0 => AttemptEnd::Failed,
            _ => AttemptEnd::Answered,
        };
        book.record_attempt_end(ms(n * 10 + 5), &sent, end, ms(5));
    }
}

/// The upstream that a VM prefers fails all of its requests although its health check passes. The
/// other one must get the requests.
#[test]
fn a_sounder_upstream_goes_first() {
    let sets = Sets::default();
    let mut book = book(vec![listed("u1", "a-1", 1), listed("u2", "a-1", 2)]);
    let choice = book.choose_target(ms(0), &sets.query(None));
    let failing = Box::from(instance(&choice).expect("an upstream"));
    let mut counts = BTreeMap::<bool, u32>::new();
    for n in 0..200 {
        let sent = send(&mut book, ms(n * 10), &sets.query(None)).expect("an upstream");
        let end = match sent == failing {
            true => AttemptEnd::Failed,
            false => AttemptEnd::Answered,
        };
        book.record_attempt_end(ms(n * 10 + 5), &sent, end, ms(5));
        *counts.entry(sent == failing).or_default() += 1;
    }
    assert!(counts[&false] > 10 * counts[&true], "{counts:?}");
}

/// The region has no room. The request must go to another region that reported room, unless its
/// homes forbid that or it was already forwarded; then it waits.
#[rstest]
#[case::allowed(None, true, true)]
#[case::home(Some("b"), true, true)]
#[case::no_home(Some("a"), true, false)]
#[case::forwarded(None, false, false)]
fn a_request_without_room_goes_to_a_region_that_may_serve_it(
    #[case] home: Option<&str>,
    #[case] reachable: bool,
    #[case] away: bool,
) {
    let sets = Sets {
        homes: home.map(|home| set(&[home, "a"])),
        reachable: if reachable { set(&["b"]) } else { set(&[]) },
        ..Sets::default()
    };
    let mut book = book(vec![listed("u1", "a-1", 1), listed("u2", "b-1", 2)]);
    let crowd = prompt(7, 1);
    while send(&mut book, ms(0), &sets.query(Some(&crowd))).is_some() {}
    book.receive_region_latencies(ms(0), &"b".into(), vec![("s".into(), first_byte(10))]);
    let choice = book.choose_target(ms(1), &sets.query(Some(&crowd)));
    assert_eq!(
        matches!(choice, TargetChoice::Forward { .. }),
        away,
        "{choice:?}"
    );
}

/// A stream may begin at once and still be cut off at its deadline: at peak load, the engines of a
/// region read prompts all the time and rarely generate tokens, while those of another region are
/// idle.
#[rstest]
#[case::long_stream(600, 400, 40, true)]
#[case::short_stream(20, 400, 40, false)]
#[case::engines_with_time(600, 20, 20, false)]
#[case::no_better_elsewhere(600, 400, 400, false)]
fn a_stream_that_would_not_end_in_time_goes_to_another_region(
    #[case] output: Tokens,
    #[case] here_ms: u64,
    #[case] there_ms: u64,
    #[case] away: bool,
) {
    let sets = Sets {
        reachable: set(&["b"]),
        ..Sets::default()
    };
    let mut book = book(vec![listed("u1", "a-1", 1), listed("u2", "b-1", 2)]);
    let prompt = Prompt {
        output,
        ..prompt(7, 1)
    };
    let query = ChoiceQuery {
        remaining_time: ms(12_000),
        ..sets.query(Some(&prompt))
    };
    for event in 0..20 {
        book.record_stream_event(ms(event * 10), "u1", ms(here_ms));
    }
    let told = ServiceLatency {
        event_gap: ms(there_ms),
        first_byte: ms(50),
        offered: None,
    };
    book.receive_region_latencies(ms(200), &"b".into(), vec![("s".into(), told)]);
    let choice = book.choose_target(ms(210), &query);
    assert_eq!(
        matches!(choice, TargetChoice::Forward { .. }),
        away,
        "{choice:?}"
    );
}

#[test]
fn nobody_who_can_serve_gives_a_time_to_come_back() {
    let choice = book(Vec::new()).choose_target(ms(0), &Sets::default().query(None));
    let TargetChoice::Unavailable { retry_after, .. } = choice else {
        panic!("{choice:?}");
    };
    assert!(retry_after > ms(100) && retry_after <= ms(2_000));
}

/// The region's only server is down while another region's is up. The request must go there; only a
/// request that may not leave tries the server that is down, which may have recovered.
#[rstest]
#[case::may_leave(true)]
#[case::must_stay(false)]
fn another_region_goes_before_an_upstream_that_is_down(#[case] may_leave: bool) {
    let sets = Sets {
        reachable: if may_leave { set(&["b"]) } else { set(&[]) },
        ..Sets::default()
    };
    let mut book = book(vec![listed("u1", "a-1", 1), listed("u2", "b-1", 2)]);
    book.record_attempt_end(ms(0), "u1", AttemptEnd::Unreachable, ms(1));
    let choice = book.choose_target(ms(10), &sets.query(None));
    match may_leave {
        true => assert!(matches!(choice, TargetChoice::Forward { .. }), "{choice:?}"),
        false => assert_eq!(instance(&choice), Some("u1")),
    }
}

/// A server is gone and another one has its address, while the list still names the first. The new
/// server refuses each request meant for the old one, so the address must not be tried again until
/// the list changes.
#[test]
fn a_server_whose_address_another_one_has_is_not_tried_again() {
    let sets = Sets::default();
    let mut book = book(vec![listed("u1", "a-1", 1)]);
    book.record_attempt_end(ms(0), "u1", AttemptEnd::AddressReused, ms(1));
    let choice = book.choose_target(ms(60_000), &sets.query(None));
    assert!(
        matches!(choice, TargetChoice::Unavailable { .. }),
        "{choice:?}"
    );
    book.update_list(
        ms(60_000),
        ListScope::AllRegions,
        vec![listed("u1", "a-1", 9)],
    );
    let choice = book.choose_target(ms(70_000), &sets.query(None));
    assert_eq!(instance(&choice), Some("u1"));
}

/// Ten VMs send to the same engines, and a prompt costs an engine the same whichever VM it comes
/// from. VMs that know only their own requests would all choose the engine that looks idle to each
/// of them; with the others' reports, a VM chooses the other engine. Reports of a VM that is gone
/// must expire.
#[test]
fn vms_that_tell_what_they_have_under_way_do_not_meet_at_one_engine() {
    let sets = Sets::default();
    let mut book = book(vec![listed("u1", "a-1", 1), listed("u2", "a-1", 2)]);
    let prompt = prompt(7, 1);
    let chosen = |book: &UpstreamBook, now| {
        let choice = book.choose_target(now, &sets.query(Some(&prompt)));
        instance(&choice).map(str::to_owned)
    };
    let first = chosen(&book, ms(0)).expect("an engine");
    let under_way = UnderWay {
        requests: 3,
        unread: 20_000,
    };
    for vm in 0..9 {
        tell(&mut book, ms(0), &format!("vm{vm}"), &first, under_way);
    }
    assert_ne!(chosen(&book, ms(10)), Some(first.clone()));
    book.build_load_messages(ms(2_000));
    assert_eq!(chosen(&book, ms(2_000)), Some(first));
}

/// A VM reports to another region how long a prompt waits there. The engine's streams last for
/// seconds, yet a new prompt begins at once: if the duration of whole answers were reported, the
/// other region would keep its own callers waiting beside idle engines.
#[test]
fn another_region_is_told_how_long_a_prompt_waits_and_not_how_long_answers_take() {
    let sets = Sets::default();
    let mut book = book(vec![listed("u1", "a-1", 1)]);
    let prompt = prompt(7, 1);
    for n in 0..20 {
        let sent = send(&mut book, ms(n * 4_000), &sets.query(Some(&prompt))).expect("an engine");
        let (aim, waited) = (ms(800), Some(ms(100)));
        book.record_first_byte(ms(n * 4_000 + 100), &sent, 6_500, aim, waited);
        book.record_attempt_end(
            ms(n * 4_000 + 3_900),
            &sent,
            AttemptEnd::Answered,
            ms(3_900),
        );
    }
    let told = book.predict_latencies(ms(90_000), &sets.evacuated, |service| service == "s");
    assert_eq!(told.len(), 1);
    assert!(told[0].1.first_byte < ms(100), "{told:?}");
}

/// Both regions are full. A request sent to the other one would be refused there and return a round
/// trip later with less time left. After one refusal, or a report that the other region is full,
/// requests must wait at home until it reports room.
#[rstest]
#[case::it_refused_one(true)]
#[case::it_told(false)]
fn nothing_is_sent_to_a_region_that_has_no_room(#[case] refused: bool) {
    let sets = Sets {
        reachable: set(&["b"]),
        ..Sets::default()
    };
    let mut book = book(vec![listed("u1", "a-1", 1), listed("u2", "b-1", 2)]);
    let crowd = prompt(7, 1);
    while send(&mut book, ms(0), &sets.query(Some(&crowd))).is_some() {}
    // The wait at home exceeds the round trip, so only the lack of room in the other region can
    // keep the request here.
    let under_way = UnderWay {
        requests: 3,
        unread: 40_000,
    };
    tell(&mut book, ms(0), "vm1", "u1", under_way);
    let away = |book: &UpstreamBook, now| {
        let choice = book.choose_target(now, &sets.query(Some(&crowd)));
        matches!(choice, TargetChoice::Forward { .. })
    };
    assert!(away(&book, ms(1)), "nothing is known of it yet");
    match refused {
        true => book.record_region_refusal(ms(1), &"b".into(), "s"),
        false => {
            book.receive_region_latencies(ms(1), &"b".into(), vec![("s".into(), first_byte(1_200))])
        }
    }
    assert!(!away(&book, ms(2)));
    book.receive_region_latencies(ms(250), &"b".into(), vec![("s".into(), first_byte(20))]);
    assert!(away(&book, ms(251)));
}

/// The zone of a region is evacuated at peak load while the other region has no room. Callers must
/// wait, as those of the other region do; refused at once, they would all retry together a second
/// later and find the others ahead of them again. If no region may serve them, waiting is useless.
#[rstest]
#[case::full(true, true)]
#[case::unreachable(false, false)]
fn a_request_that_only_a_full_region_can_serve_waits(
    #[case] is_reachable: bool,
    #[case] waits: bool,
) {
    let sets = Sets {
        evacuated: set(&["a-1"]),
        reachable: if is_reachable { set(&["b"]) } else { set(&[]) },
        ..Sets::default()
    };
    let mut book = book(vec![listed("u1", "a-1", 1), listed("u2", "b-1", 2)]);
    let prompt = prompt(7, 1);
    book.record_region_refusal(ms(0), &"b".into(), "s");
    let choice = book.choose_target(ms(10), &sets.query(Some(&prompt)));
    let found = matches!(choice, TargetChoice::NoRoom { .. });
    assert_eq!(found, waits, "{choice:?}");
    // Once the other region reports room, the request is sent there.
    book.receive_region_latencies(ms(100), &"b".into(), vec![("s".into(), first_byte(20))]);
    assert!(book.has_room(ms(110), "s", true, 6_500));
    let choice = book.choose_target(ms(110), &sets.query(Some(&prompt)));
    assert_eq!(
        matches!(choice, TargetChoice::Forward { .. }),
        waits,
        "{choice:?}"
    );
}

/// A workspace is bound to a region that cannot be reached, and the upstream here is idle but may
/// not serve it. Nobody knows when the partition ends, so callers must be told the longest retry
/// time instead of returning at once to be refused again.
#[test]
fn callers_bound_to_a_region_that_cannot_be_reached_do_not_come_back_at_once() {
    let sets = Sets {
        homes: Some(set(&["b"])),
        ..Sets::default()
    };
    let book = book(vec![listed("u1", "a-1", 1), listed("u2", "b-1", 2)]);
    let choice = book.choose_target(ms(0), &sets.query(None));
    let TargetChoice::Unavailable { retry_after, .. } = choice else {
        panic!("{choice:?}");
    };
    assert_eq!(retry_after, ms(2_000));
}
