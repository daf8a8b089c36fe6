//! List of upstreams: what its reader tells the other VMs.

use {super::*, rstest::rstest};

/// List of `count` upstreams, of which the first `cold` are cold.
fn upstreams(count: u16, cold: u16, cold_for: Duration) -> Vec<ListedUpstream> {
    let upstream = |number: u16| ListedUpstream {
        cold_for: match number < cold {
            true => cold_for,
            false => ms(0),
        },
        ..listed(&format!("u{number}"), "a-1", number)
    };
    (0..count).map(upstream).collect()
}

/// Applies an update as a VM that receives it does, and returns whether it changed the list.
fn apply(list: &mut UpstreamList, update: ListUpdate) -> Result<bool, ListMismatch> {
    match update {
        ListUpdate::Changes {
            base,
            changed,
            digest,
            removed,
        } => list.apply_changes(base, digest, &changed, &removed),
        ListUpdate::Unchanged { digest } => {
            assert_eq!(digest, list.digest());
            Ok(false)
        }
        ListUpdate::Whole {
            scope, upstreams, ..
        } => {
            *list = UpstreamList::new(scope, upstreams);
            Ok(true)
        }
    }
}

fn encoded_len(update: &ListUpdate) -> usize {
    postcard::to_stdvec(update).expect("it encodes").len()
}

/// Guards against lists that are sent whole whenever one upstream changes: with thousands of
/// upstreams, one of which starts or stops each second, they fill the links of the VMs that relay
/// them.
#[test]
fn what_a_change_costs_does_not_grow_with_the_list() {
    let cost = |count: u16| {
        let mut list = UpstreamList::default();
        list.replace(ms(0), ListScope::OwnRegion, upstreams(count, 0, ms(0)));
        let mut read = upstreams(count, 0, ms(0));
        read[3].leaving = true;
        read.swap_remove(5);
        read.push(listed("new", "a-2", 1));
        encoded_len(&list.replace(ms(1_000), ListScope::OwnRegion, read))
    };
    let (small, large) = (cost(1_000), cost(20_000));
    assert!(large <= small + 8, "{small} and {large} bytes");
}

/// Guards against a zone whose upstreams become cold together: the time that is left differs with
/// each read, and their entries would be sent again each time.
#[test]
fn the_cold_time_of_an_upstream_is_told_when_it_begins_and_ends() {
    let mut list = UpstreamList::default();
    let mut now = ms(0);
    let mut read = |cold, cold_for| {
        now += ms(1_000);
        let update = list.replace(now, ListScope::OwnRegion, upstreams(1_000, cold, cold_for));
        match update {
            ListUpdate::Changes { changed, .. } => changed.len(),
            ListUpdate::Unchanged { .. } => 0,
            ListUpdate::Whole { upstreams, .. } => upstreams.len(),
        }
    };
    assert_eq!(read(0, ms(0)), 1_000);
    assert_eq!(read(500, ms(2_900)), 500, "it begins");
    assert_eq!(read(500, ms(1_900)), 0, "it goes on");
    assert_eq!(read(500, ms(900)), 0, "it goes on");
    assert_eq!(read(500, ms(2_950)), 500, "it begins again");
    assert_eq!(
        read(500, ms(2_700)),
        500,
        "it begins again before it has ended"
    );
    assert_eq!(read(500, ms(1_700)), 0, "it goes on");
    assert_eq!(read(0, ms(0)), 500, "it ends");
    assert_eq!(read(0, ms(0)), 0);
}

/// VMs that follow the changes of a list, in whatever form, must end with the list of its reader.
#[test]
fn vms_that_follow_the_changes_have_the_readers_list() {
    let mut reader = UpstreamList::default();
    let mut follower = UpstreamList::default();
    for step in 0..60_u16 {
        let mut read = upstreams(
            50 + step % 7,
            step % 5,
            ms(3_000 - u64::from(step % 3) * 900),
        );
        if step % 4 == 0 {
            read.remove(usize::from(step % 40));
        }
        read[usize::from(step % 30)].leaving = step % 2 == 0;
        let update = reader.replace(ms(u64::from(step) * 1_000), ListScope::OwnRegion, read);
        apply(&mut follower, update).expect("it fits");
        assert_eq!(follower.digest(), reader.digest());
        assert!(follower.iter().eq(reader.iter()));
    }
}

/// Guards against lists that are applied by halves: changes to another list, changes that come
/// twice and changes that do not lead to the list that they name leave the list as it was.
#[rstest]
#[case::of_another_list(|update: &mut ListUpdate| {
    let ListUpdate::Changes { base, .. } = update else { panic!("changes") };
    *base += 1;
})]
#[case::altered(|update: &mut ListUpdate| {
    let ListUpdate::Changes { changed, .. } = update else { panic!("changes") };
    changed[0].leaving = true;
})]
#[case::with_a_part_missing(|update: &mut ListUpdate| {
    let ListUpdate::Changes { removed, .. } = update else { panic!("changes") };
    removed.clear();
})]
#[case::with_a_change_twice(|update: &mut ListUpdate| {
    let ListUpdate::Changes { changed, .. } = update else { panic!("changes") };
    changed.push(changed[0].clone());
})]
fn changes_that_do_not_fit_are_refused(#[case] spoil: fn(&mut ListUpdate)) {
    let mut reader = UpstreamList::default();
    let whole = reader.replace(ms(0), ListScope::OwnRegion, upstreams(10, 0, ms(0)));
    let mut follower = UpstreamList::default();
    apply(&mut follower, whole).expect("it fits");
    let mut read = upstreams(9, 0, ms(0));
    read[2].address.set_port(77);
    let update = reader.replace(ms(1_000), ListScope::OwnRegion, read);
    let mut spoilt = update.clone();
    spoil(&mut spoilt);
    let before = follower.clone();
    assert!(apply(&mut follower, spoilt).is_err());
    assert_eq!(follower.digest(), before.digest());
    assert!(follower.iter().eq(before.iter()));
    assert_eq!(apply(&mut follower, update.clone()), Ok(true));
    let after = follower.clone();
    assert_eq!(apply(&mut follower, update), Ok(false), "it came twice");
    assert!(follower.iter().eq(after.iter()));
}

/// Two VMs read the list in the place of one that fell silent. Guards against VMs that ask for the
/// whole list with each update, because each comes from the other reader.
#[test]
fn readers_of_the_same_list_agree() {
    let mut first = UpstreamList::default();
    let whole = first.replace(ms(0), ListScope::OwnRegion, upstreams(100, 0, ms(0)));
    let mut second = UpstreamList::default();
    let mut follower = UpstreamList::default();
    apply(&mut second, whole.clone()).expect("it fits");
    apply(&mut follower, whole).expect("it fits");
    for (at, cold, left) in [(1_000, 10, 2_900), (2_000, 10, 1_900), (3_000, 0, 0)] {
        let scope = ListScope::OwnRegion;
        let by_first = first.replace(ms(at), scope, upstreams(100, cold, ms(left)));
        let later = upstreams(100, cold, ms(left.saturating_sub(40)));
        let by_second = second.replace(ms(at + 40), scope, later);
        apply(&mut follower, by_first).expect("it fits");
        apply(&mut follower, by_second).expect("it fits");
        assert_eq!(follower.digest(), second.digest());
    }
}

/// The book of a VM that applies changes must know the same upstreams as one that gets the whole
/// list.
#[test]
fn changes_of_the_list_reach_the_choice_of_upstreams() {
    let sets = Sets::default();
    let mut book = book(vec![listed("u1", "a-1", 1), listed("u2", "a-1", 2)]);
    let leaving = ListedUpstream {
        leaving: true,
        ..listed("u2", "a-1", 2)
    };
    book.change_list(ms(0), vec![leaving], &["u1".into()]);
    assert_eq!(
        instance(&book.choose_target(ms(0), &sets.query(None))),
        None
    );
    book.change_list(ms(0), vec![listed("u3", "a-2", 3)], &[]);
    let chosen = book.choose_target(ms(5_000), &sets.query(None));
    assert_eq!(instance(&chosen), Some("u3"));
    let names = book.listed_upstreams().map(|listed| &*listed.instance);
    assert_eq!(names.collect::<Vec<_>>(), ["u2", "u3"]);
}

/// A list that covers the own region only says nothing of the others. They can serve a request as
/// far as VMs there report it.
#[test]
fn a_region_that_the_list_does_not_cover_serves_by_its_reports() {
    let sets = Sets {
        homes: Some(set(&["b"])),
        reachable: set(&["b"]),
        ..Sets::default()
    };
    let mut book = book(Vec::new());
    let region = |book: &UpstreamBook, at| match book.choose_target(at, &sets.query(None)) {
        TargetChoice::Forward { region, .. } => Some(region),
        _ => None,
    };
    assert_eq!(region(&book, ms(0)), None, "no upstream of it is listed");
    book.update_list(ms(0), ListScope::OwnRegion, [listed("u1", "a-1", 1)]);
    assert_eq!(region(&book, ms(0)).as_deref(), Some("b"));
    book.record_region_refusal(ms(1), &"b".into(), "s");
    assert_eq!(region(&book, ms(2)), None, "it has no room");
}

/// A list of all regions is read while it is short, and one region's when it has grown.
#[test]
fn long_lists_cover_the_own_region_only() {
    let all = ListScope::AllRegions;
    assert_eq!(all.after_read(ListScope::MAX_OF_ALL_REGIONS), all);
    let own = all.after_read(ListScope::MAX_OF_ALL_REGIONS + 1);
    assert_eq!(own, ListScope::OwnRegion);
    assert_eq!(own.after_read(4_462), own, "no change to and fro");
    assert_eq!(own.after_read(20), all, "it may be short again");
}

/// Guards against upstreams that are dropped because a malformed entry before them hides them from a read.
#[test]
fn what_a_cut_off_read_lacks_stays_as_it_was() {
    let mut list = UpstreamList::default();
    let scope = ListScope::AllRegions;
    list.replace(ms(0), scope, upstreams(4, 2, ms(3_000)));
    let mut read = upstreams(1, 0, ms(0));
    read[0].leaving = true;
    list.add_missing(scope, &mut read);
    let update = list.replace(ms(1_000), scope, read);
    let ListUpdate::Changes {
        changed, removed, ..
    } = update
    else {
        panic!("{update:?}");
    };
    assert_eq!((changed.len(), removed.len(), list.len()), (1, 0, 4));
    assert!(changed[0].leaving);

    let mut read = Vec::new();
    list.add_missing(ListScope::OwnRegion, &mut read);
    assert!(read.is_empty(), "the list of another scope says nothing");
}

/// Guards against an entry of an unknown service that takes the place of an upstream, or takes turns with it at each read.
#[rstest]
#[case::first(0)]
#[case::last(2)]
fn an_entry_of_an_unknown_service_takes_no_place_of_an_upstream(#[case] place: usize) {
    let sound = listed("u1", "a-1", 1);
    let known = sound.service.clone();
    let mut read = vec![sound.clone(), listed("u2", "a-1", 2)];
    let odd = ListedUpstream {
        service: "unknown".into(),
        ..listed("u1", "a-2", 9)
    };
    read.insert(place, odd);
    let removed = UpstreamList::remove_duplicates(&mut read, |service| *service == known);
    assert_eq!((removed, read.len()), (1, 2));
    assert!(read.contains(&sound));
    let mut list = UpstreamList::default();
    list.replace(ms(0), ListScope::AllRegions, read.clone());
    let update = list.replace(ms(1_000), ListScope::AllRegions, read);
    assert!(matches!(update, ListUpdate::Unchanged { .. }), "{update:?}");
}

/// Guards against an upstream that leaves between two pages and stays as the first of them has it.
#[test]
fn of_two_entries_of_an_upstream_the_last_one_counts() {
    let first = listed("u1", "a-1", 1);
    let last = ListedUpstream {
        leaving: true,
        ..first.clone()
    };
    let mut read = vec![first, last.clone()];
    let removed = UpstreamList::remove_duplicates(&mut read, |_| true);
    assert_eq!((removed, read), (1, vec![last]));
}
