//! Room of regions: what callers get while regions peak in turn, and what a region's word does when it is lost, late
//! or wrong.

use {
    super::*,
    region_play::{Tally, Terms, play},
    rstest::rstest,
};

/// Two regions are over their room at once, and each peaks in turn; the three together need more than their slots for
/// half of the time.
const BY_TURNS: [[u64; 4]; 3] = [
    [1_740, 1_400, 450, 450],
    [450, 1_510, 1_510, 450],
    [450, 450, 1_000, 1_250],
];
/// Room that a region offers, with a latency that attracts requests.
fn offer(slots: u32, tokens: u64) -> ServiceLatency {
    ServiceLatency {
        offered: Some(OfferedRoom { slots, tokens }),
        ..first_byte(10)
    }
}

/// The way without offers: by latency alone.
fn by_latency(load: [[u64; 4]; 3]) -> Tally {
    play(Terms {
        load,
        disabled: BTreeSet::from([Mechanism::OfferedRoom]),
        ..Terms::default()
    })
}

/// A region that is over its room sends requests to another, and all its VMs do so with the same news. By latency
/// alone, two regions without room send each other requests, and each request costs its caller a round trip to be
/// refused. Callers need the room of the third region, and no trips to the second.
#[test]
fn regions_that_peak_in_turn_send_only_into_room() {
    let before = by_latency(BY_TURNS);
    let tally = play(Terms {
        load: BY_TURNS,
        ..Terms::default()
    });
    println!("by latency: {:.3} {before:?}", before.worth());
    println!("by offers: {:.3} {tally:?}", tally.worth());
    assert!(tally.refused_away * 10 <= tally.sent_away, "{tally:?}");
    assert!(tally.refused_away * 10 <= before.refused_away);
    assert!(tally.crossed * 50 <= tally.sent_away, "{tally:?}");
    assert!(tally.worth() >= before.worth() + 0.01);
    assert!(tally.late * 50 <= tally.asked, "{tally:?}");
}

/// With room everywhere, nothing changes; with one region over its room beside two that have plenty, all its callers
/// are still served.
#[rstest]
#[case::calm([[450; 4]; 3])]
#[case::uneven([[700, 200, 700, 200], [200, 700, 200, 700], [700; 4]])]
fn with_plenty_of_room_callers_get_what_they_got(#[case] load: [[u64; 4]; 3]) {
    let before = by_latency(load);
    let tally = play(Terms {
        load,
        ..Terms::default()
    });
    assert_eq!(tally, before);
    assert_eq!(tally.in_time, tally.asked);
}

#[test]
fn a_region_over_its_room_is_served_by_two_that_have_plenty() {
    let load = [[300; 4], [300; 4], [1_300; 4]];
    let (before, tally) = (
        by_latency(load),
        play(Terms {
            load,
            ..Terms::default()
        }),
    );
    println!("by latency: {:.3} {before:?}", before.worth());
    println!("by offers: {:.3} {tally:?}", tally.worth());
    assert!(tally.worth() >= before.worth() - 0.01);
    assert!(tally.worth() >= 0.97);
}

/// The word of regions fails while two of them are over their room: reports lost for two seconds, most of them lost,
/// one region that always claims 10^9 free slots or none, and a region that tells no figure. Callers must get about
/// what they get by latency alone, or more; room that no report tells of stays free.
#[rstest]
#[case::lost_for_two_seconds(|now: Duration, _, latency| (now < ms(2_000) || now > ms(4_000)).then_some(latency), 0.0)]
#[case::most_lost(|now: Duration, of: usize, latency| (now.as_millis() as usize / 250 + of).is_multiple_of(3).then_some(latency), 0.02)]
#[case::absurdly_much(|_, of, latency| Some(match of {
    2 => offer(1_000_000_000, u64::MAX),
    _ => latency,
}), 0.02)]
#[case::always_none(|_, of, latency| Some(match of {
    2 => offer(0, 0),
    _ => latency,
}), 0.04)]
#[case::told_by_none(|_, _, latency| Some(ServiceLatency { offered: None, ..latency }), 0.0)]
fn the_word_of_a_region_may_fail(
    #[case] report: fn(Duration, usize, ServiceLatency) -> Option<ServiceLatency>,
    #[case] loss: f64,
) {
    let before = by_latency(BY_TURNS);
    let tally = play(Terms {
        load: BY_TURNS,
        report,
        ..Terms::default()
    });
    println!("{:.3} {tally:?}, {:.3}", tally.worth(), before.worth());
    assert!(tally.worth() >= before.worth() - loss);
    assert!(tally.refused_away <= before.refused_away);
}

/// A VM starts anew in the middle of a peak and knows no report. It must not upset the others.
#[test]
fn a_vm_that_starts_anew_does_no_harm() {
    let tally = play(Terms {
        load: BY_TURNS,
        restarts_at: Some(ms(3_000)),
        ..Terms::default()
    });
    println!("{:.3} {tally:?}", tally.worth());
    assert!(tally.worth() >= by_latency(BY_TURNS).worth());
    assert!(tally.refused_away * 8 <= tally.sent_away);
}

/// Full book of a VM in region `a`, one of four, with an upstream in `b`, and the prompt that filled it.
fn full_book(vm: &str) -> (UpstreamBook, Prompt) {
    let mut there = listed("u2", "b-1", 2);
    there.slots = 1_000;
    let mut book = book_of(vm, vec![listed("u1", "a-1", 1), there]);
    book.set_region_vms([("a".into(), 4), ("b".into(), 4)].into());
    let sets = Sets::default();
    let crowd = prompt(7, 1);
    loop {
        let query = sets.query(Some(&crowd));
        let TargetChoice::Upstream {
            instance, unread, ..
        } = book.choose_target(ms(0), &query)
        else {
            return (book, crowd);
        };
        book.record_sent(ms(0), &query, &instance, unread);
    }
}

/// Sends as many requests to region `b` as the VM may, and returns their number.
fn send_away(book: &mut UpstreamBook, now: Duration, prompt: &Prompt) -> u32 {
    let sets = Sets {
        reachable: set(&["b"]),
        ..Sets::default()
    };
    let mut sent = 0;
    let query = sets.query(Some(prompt));
    while matches!(
        book.choose_target(now, &query),
        TargetChoice::Forward { .. }
    ) && sent < 10_000
    {
        book.record_sent_away(&"b".into(), "s", prompt.own_tokens());
        sent += 1;
    }
    sent
}

/// Four VMs hear the same offer. Together they must send about as many requests as it has slots, also if there are
/// fewer slots than VMs, and however often the same offer is told.
#[rstest]
#[case::many(40)]
#[case::few(2)]
fn vms_together_send_what_is_offered(#[case] slots: u32) {
    let mut sent = 0;
    let reports = 50;
    for vm in 0..4 {
        let (mut book, crowd) = full_book(&format!("vm{vm}"));
        for report in 0..reports {
            let now = ms(1_000 + report * 250);
            let told = vec![("s".into(), offer(slots, 10_000_000))];
            for _ in 0..3 {
                book.receive_region_latencies(now, &"b".into(), told.clone());
            }
            sent += send_away(&mut book, now, &crowd);
        }
    }
    let mean = f64::from(sent) / reports as f64;
    assert!((mean / f64::from(slots) - 1.0).abs() < 0.15, "{mean}");
}

/// A region offers slots whose engines have little reading work left. Prompts must stay within that work.
#[test]
fn prompts_stay_within_the_offered_reading_work() {
    let (mut book, crowd) = full_book("vm");
    let reports = 200_u64;
    let mut sent = 0;
    for report in 0..reports {
        let now = ms(1_000 + report * 250);
        book.receive_region_latencies(now, &"b".into(), vec![("s".into(), offer(400, 4_000))]);
        sent += u64::from(send_away(&mut book, now, &crowd));
    }
    let read = sent * crowd.own_tokens();
    assert!(read <= reports * 1_000 * 13 / 10, "{sent}");
    assert!(read >= reports * 1_000 * 7 / 10, "{sent}");
}

/// A region is lost, or cut off, after it offered room. No VM may send it more than that offer while its VMs still
/// seem alive.
#[test]
fn a_region_lost_after_its_offer_gets_no_more_than_that() {
    let (mut book, crowd) = full_book("vm");
    book.receive_region_latencies(
        ms(1_000),
        &"b".into(),
        vec![("s".into(), offer(8, 1_000_000))],
    );
    let sent = (0..10).map(|n| send_away(&mut book, ms(1_000 + n * 190), &crowd));
    assert_eq!(sent.sum::<u32>(), 2);
}

/// Two regions each believe that the other has room. While requests of a region arrive here, none of the service are
/// sent there.
#[test]
fn a_vm_sends_nothing_to_the_region_whose_requests_it_gets() {
    let (mut book, crowd) = full_book("vm");
    book.record_arrival_from(ms(1_000), &"b".into(), "s");
    let told = vec![("s".into(), offer(8, 1_000_000))];
    book.receive_region_latencies(ms(1_010), &"b".into(), told);
    assert_eq!(send_away(&mut book, ms(1_020), &crowd), 0);
    assert_eq!(send_away(&mut book, ms(1_260), &crowd), 2);
}

/// A VM reports for its region while it can't reach the upstreams itself: what it knows of them is nothing. Others of
/// the region report.
#[test]
fn a_vm_without_a_path_does_not_speak_for_its_region() {
    let mut book = book(vec![listed("u1", "a-1", 1)]);
    let none = BTreeSet::new();
    let tells = |book: &UpstreamBook| {
        let offers = book.offer_room(ms(10), &none, |_| true);
        let latencies = book.predict_latencies(ms(10), &none, |_| true);
        (offers.len(), latencies.len())
    };
    assert_eq!(tells(&book), (1, 1));
    book.suspect_path(ms(0), "s");
    book.record_probe(ms(1), "s", false);
    assert_eq!(tells(&book), (0, 0));
}

/// Requests that wait for room on any VM of the region keep as many slots: once they take all, the region offers
/// nothing.
#[rstest]
#[case::here(true)]
#[case::at_another_vm(false)]
fn requests_that_wait_keep_their_slots(#[case] is_here: bool) {
    let vms = || region_vms(["vm".into(), "vm1".into()]);
    let upstreams = || vec![listed("u1", "a-1", 1)];
    let (mut book, mut other) = (book_of("vm", upstreams()), book_of("vm1", upstreams()));
    book.set_vms(ms(0), &vms());
    other.set_vms(ms(0), &vms());
    let offered = |book: &UpstreamBook| book.offer_room(ms(10), &BTreeSet::new(), |_| true)[0].1;
    assert!(offered(&book).slots > 50 && offered(&book).tokens > 1_000);
    let before = offered(&book).slots;
    for (waiting, left) in [(5, before - 5), (100, 0)] {
        match is_here {
            true => book.set_waiting("s", waiting),
            false => {
                other.set_waiting("s", waiting);
                for (_, message) in other.build_load_messages(ms(5)) {
                    book.receive_load_message(ms(6), &"vm1".into(), message);
                }
            }
        }
        assert_eq!(offered(&book).slots, left);
    }
    assert_eq!(offered(&book).tokens, 0);
}
