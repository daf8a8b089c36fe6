//! Bound on the upstreams that a VM compares for a request, and how the VMs of a region spread over
//! the upstreams.

use {super::*, rstest::rstest};

fn upstreams(count: u16) -> Vec<ListedUpstream> {
    let upstreams = (0..count).map(|number| listed(&format!("u{number:05}"), "a-1", number));
    upstreams.collect()
}

/// Returns the upstream that a request goes to, with the numbers of candidates and of upstreams
/// compared.
fn chosen(book: &UpstreamBook, query: &ChoiceQuery) -> (Box<str>, u32, u32) {
    match book.choose_target(ms(0), query) {
        TargetChoice::Upstream {
            candidates,
            compared,
            instance,
            ..
        } => (instance, candidates, compared),
        other => panic!("{other:?}"),
    }
}

/// Returns how many VMs choose each upstream for their first call, before any has heard of another.
fn first_calls(vms: u16, upstreams: &[ListedUpstream]) -> BTreeMap<Box<str>, u32> {
    let sets = Sets::default();
    let mut counts = BTreeMap::new();
    for vm in 0..vms {
        let book = book_of(
            &format!("10.1.{}.{}", vm / 250, vm % 250),
            upstreams.to_vec(),
        );
        let (instance, ..) = chosen(&book, &sets.query(None));
        *counts.entry(instance).or_default() += 1;
    }
    counts
}

/// Guards against herds: idle upstreams all cost the same, and if VMs that have not heard of one
/// another's calls broke the tie by name, all of them would call the first upstream.
#[rstest]
#[case::few(8, 3)]
#[case::many(300, 150)]
#[case::more(1_000, 500)]
fn vms_spread_over_idle_upstreams(#[case] vms: u16, #[case] count: u16) {
    let counts = first_calls(vms, &upstreams(count));
    let mean = u32::from(vms / count);
    let most = counts.values().max().copied().unwrap_or(0);
    assert!(
        most <= 5 * mean.max(1),
        "{most} of {vms} VMs at one upstream"
    );
    assert!(
        counts.len() * 3 >= usize::from(count) * 2,
        "{}",
        counts.len()
    );
}

/// Guards against a choice whose cost grows with the upstreams times the engines that cache a
/// prefix.
#[rstest]
#[case(1_000)]
#[case(10_000)]
#[case(20_000)]
fn the_upstreams_that_are_compared_do_not_grow_with_the_region(#[case] count: u16) {
    let mut book = book(upstreams(count));
    let sets = Sets::default();
    for engine in 0..count {
        let prefixes = SharedPrefix::list_in(&prompt(7, 1));
        book.record_cached_prefixes(ms(0), &format!("u{engine:05}").into(), &prefixes, None);
    }
    let most = (UpstreamBook::MAX_COMPARED + CacheDirectory::MAX_HOLDERS) as u32;
    for query in [sets.query(None), sets.query(Some(&prompt(7, 2)))] {
        let (_, candidates, compared) = chosen(&book, &query);
        assert_eq!(candidates, u32::from(count));
        assert!(compared <= most, "{compared}");
    }
}

/// A region that is small enough has all its upstreams compared.
#[test]
fn all_upstreams_of_a_small_region_are_compared() {
    let book = book(upstreams(UpstreamBook::MAX_COMPARED as u16));
    let (_, candidates, compared) = chosen(&book, &Sets::default().query(None));
    assert_eq!(candidates, compared);
}

/// VMs agree on the engine for a prompt also where only a part of the engines is compared, and a
/// VM sends a prompt to an engine that caches its longest prefix although it is not of that part.
#[test]
fn an_engine_that_caches_a_prompt_is_compared() {
    let sets = Sets::default();
    let (first, second) = (prompt(7, 1), prompt(7, 2));
    let mut one = book_of("vm1", upstreams(1_000));
    let other = book_of("vm2", upstreams(1_000));
    let (owner, ..) = chosen(&one, &sets.query(Some(&first)));
    assert_eq!(chosen(&other, &sets.query(Some(&first))).0, owner);
    let unlikely = (0..1_000).map(|number| format!("u{number:05}"));
    let caching = unlikely.into_iter().find(|name| **name != *owner);
    let caching: Box<str> = caching.expect("another engine").into();
    let excluded = Sets {
        excluded: vec![owner],
        ..Sets::default()
    };
    one.record_cached_prefixes(ms(0), &caching, &SharedPrefix::list_in(&first), None);
    assert_eq!(chosen(&one, &excluded.query(Some(&second))).0, caching);
}

/// Guards against refusals beside idle upstreams: where all that are compared first are full, the
/// others are compared as well.
#[test]
fn a_request_is_not_refused_while_an_upstream_outside_the_shortlist_has_room() {
    let sets = Sets::default();
    let slots = u32::from(upstreams(1)[0].slots as u16);
    let mut book = book(upstreams(200));
    let query = sets.query(None);
    let mut used = BTreeSet::new();
    for _ in 0..150 * 2 * slots {
        let (instance, ..) = chosen(&book, &query);
        book.record_sent(ms(0), &query, &instance, 0);
        used.insert(instance);
    }
    assert!(used.len() >= 150, "{}", used.len());
}
