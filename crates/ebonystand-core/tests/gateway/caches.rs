//! What engines keep of prompts, and from which one another imports it.

use {super::*, rstest::rstest};

/// Engines `u1` and `u2` in region `a`, where the book's VM stands, and `v1` in region `b`.
fn two_regions() -> Vec<ListedUpstream> {
    vec![
        listed("u1", "a-1", 1),
        listed("u2", "a-2", 2),
        listed("v1", "b-1", 3),
    ]
}

fn keep(book: &mut UpstreamBook, now: Duration, sets: &Sets, instance: &str, prompt: &Prompt) {
    let prefixes = SharedPrefix::of(prompt, sets.homes.as_ref());
    book.keeps(now, &instance.into(), &prefixes);
}

/// The engine that a request goes to, and the one that this imports from.
fn import(
    book: &UpstreamBook,
    now: Duration,
    sets: &Sets,
    prompt: &Prompt,
) -> (Box<str>, Option<CacheSource>) {
    match book.choose(now, &sets.query(Some(prompt))) {
        Choice::Here {
            instance, import, ..
        } => (instance, import),
        other => panic!("{other:?}"),
    }
}

/// An engine of another region has read a shared part. The first request for it here reads its own part
/// only and takes the rest from there; nothing is left to be read twice.
#[test]
fn what_another_region_has_read_is_imported() {
    let sets = Sets::default();
    let mut book = book(two_regions());
    let (first, second) = (prompt(7, 1), prompt(7, 2));
    assert_eq!(import(&book, ms(0), &sets, &first).1, None);
    keep(&mut book, ms(0), &sets, "v1", &first);
    let source = import(&book, ms(1), &sets, &second).1.expect("a source");
    assert_eq!((&*source.instance, source.tokens), ("v1", 5_500));
    assert_eq!(source.address.port(), 3);
    let Choice::Here { unread, .. } = book.choose(ms(1), &sets.query(Some(&second))) else {
        panic!("somebody can serve it");
    };
    assert_eq!(unread, 1_000);
}

/// The engine of the own region is nearer than that of another one.
#[test]
fn the_nearest_engine_exports() {
    let sets = Sets::default();
    let mut book = book(two_regions());
    let prompt = prompt(7, 1);
    let (chosen, _) = import(&book, ms(0), &sets, &prompt);
    let other = if &*chosen == "u1" { "u2" } else { "u1" };
    keep(&mut book, ms(0), &sets, other, &prompt);
    keep(&mut book, ms(5), &sets, "v1", &prompt);
    // The chosen one is the owner of the part and idle, but has not read it.
    let excluded = Sets {
        excluded: vec![other.into()],
        ..Sets::default()
    };
    let (_, source) = import(&book, ms(6), &excluded, &prompt);
    assert_eq!(&*source.expect("a source").instance, other);
}

/// A workspace is bound to region `a`, another one to none. What was read for the one is stored outside
/// of its homes if the other one's request imports it there, so each finds only what its like has read.
#[rstest]
#[case::bound_to_free(Some("a"), None)]
#[case::free_to_bound(None, Some("a"))]
#[case::bound_elsewhere(Some("b"), Some("a"))]
fn what_is_kept_for_some_homes_is_not_imported_for_others(
    #[case] read_for: Option<&str>,
    #[case] asked_for: Option<&str>,
) {
    let homes = |home: Option<&str>| Sets {
        homes: home.map(|home| set(&[home])),
        ..Sets::default()
    };
    let mut book = book(two_regions());
    let prompt = prompt(7, 1);
    for engine in ["u1", "u2", "v1"] {
        keep(&mut book, ms(0), &homes(read_for), engine, &prompt);
    }
    let (_, source) = import(&book, ms(1), &homes(asked_for), &prompt);
    assert_eq!(source, None);
}

/// A workspace is bound to region `a`. An engine of region `b` is no source, whoever says that it keeps it.
#[test]
fn nothing_is_imported_from_outside_of_the_homes() {
    let sets = Sets {
        homes: Some(set(&["a"])),
        ..Sets::default()
    };
    let mut book = book(two_regions());
    let prompt = prompt(7, 1);
    keep(&mut book, ms(0), &sets, "v1", &prompt);
    assert_eq!(import(&book, ms(1), &sets, &prompt).1, None);
}

/// An engine that kept a part is gone, down, cold, taken over by another server or has long not used
/// it: nothing is expected of it any more.
#[rstest]
#[case::unlisted(|book: &mut UpstreamBook| book.list(ms(10), two_regions()[..2].to_vec()))]
#[case::down(|book: &mut UpstreamBook| book.ended(ms(10), "v1", AttemptEnd::Unreachable, ms(1)))]
#[case::another_server(|book: &mut UpstreamBook| book.ended(ms(10), "v1", AttemptEnd::Stranger, ms(1)))]
#[case::cold(|book: &mut UpstreamBook| {
    let mut all = two_regions();
    all[2].cold_for = ms(3_000);
    book.list(ms(10), all);
})]
#[case::long_unused(|book: &mut UpstreamBook| book.set_vms(ms(40_000), ["vm".into()]))]
fn an_engine_that_lost_what_it_kept_is_no_source(#[case] loses: fn(&mut UpstreamBook)) {
    let sets = Sets::default();
    let mut book = book(two_regions());
    let prompt = prompt(7, 1);
    keep(&mut book, ms(1), &sets, "v1", &prompt);
    assert!(import(&book, ms(2), &sets, &prompt).1.is_some());
    loses(&mut book);
    let now = ms(50_000);
    assert_eq!(import(&book, now, &sets, &prompt).1, None);
}

/// An engine is about to be taken away and gets no new requests. The others take what it keeps while it
/// is still there.
#[rstest]
#[case::leaving(true)]
#[case::evacuated(false)]
fn an_engine_that_gets_no_requests_any_more_still_exports(#[case] leaving: bool) {
    let mut sets = Sets::default();
    let mut all = two_regions();
    let prompt = prompt(7, 1);
    let mut book = book(all.clone());
    keep(&mut book, ms(0), &sets, "u2", &prompt);
    match leaving {
        true => all[1].leaving = true,
        false => sets.evacuated = set(&["a-2"]),
    }
    book.list(ms(1), all);
    let (chosen, source) = import(&book, ms(2), &sets, &prompt);
    assert_eq!(&*chosen, "u1");
    assert_eq!(&*source.expect("a source").instance, "u2");
}

/// Engines without a link to each other read for themselves.
#[test]
fn without_a_link_nothing_is_imported() {
    let sets = Sets::default();
    let mut book = book(two_regions());
    let prompt = prompt(7, 1);
    keep(&mut book, ms(0), &sets, "v1", &prompt);
    let mut query = sets.query(Some(&prompt));
    query.engine = Some(EngineTerms::default());
    let choice = book.choose(ms(1), &query);
    assert!(
        matches!(choice, Choice::Here { import: None, .. }),
        "{choice:?}"
    );
}

/// A VM of another region is told once, and tells its region: bytes between regions are dear, and all
/// VMs there know. What goes on being used is told again before it counts as dropped.
#[test]
fn what_is_told_reaches_each_vm_once() {
    let sets = Sets::default();
    let (mut first, mut second, mut third) = (
        book_of("vm1", two_regions()),
        book_of("vm2", two_regions()),
        book_of("vm3", two_regions()),
    );
    let prompt = prompt(7, 1);
    keep(&mut first, ms(0), &sets, "v1", &prompt);
    keep(&mut first, ms(1_000), &sets, "v1", &prompt);
    let away = first.caches_for_others();
    assert_eq!(away.len(), 1);
    assert_eq!(first.caches_for_region(), away);
    second.caches_told(ms(60), away, true);
    assert_eq!(second.caches_for_others(), []);
    let region = second.caches_for_region();
    third.caches_told(ms(160), region, false);
    assert_eq!(
        (third.caches_for_region(), third.caches_for_others()),
        (vec![], vec![])
    );
    assert!(import(&third, ms(161), &sets, &prompt).1.is_some());
    keep(&mut first, ms(6_000), &sets, "v1", &prompt);
    assert_eq!(first.caches_for_others().len(), 1);
}

/// Callers without end ask for parts that nobody has asked for before. What is known of them stays bounded.
#[test]
fn the_parts_that_are_known_are_bounded() {
    let mut directory = CacheDirectory::default();
    let engine = UpstreamId::from("u1");
    for prefix in 0..20_000 {
        directory.begun(ms(0), prefix, &engine);
    }
    let known = (0..20_000).filter(|prefix| directory.keeps(ms(1), *prefix, "u1"));
    assert_eq!(known.count(), CacheDirectory::MOST);
    directory.sweep(ms(60_000));
    directory.begun(ms(60_000), 7, &engine);
    assert!(directory.keeps(ms(60_000), 7, "u1"));
}

/// Parts too short to be worth an import are not told of.
#[test]
fn only_long_beginnings_are_kept_account_of() {
    let short = Prompt {
        parts: vec![
            PromptPart { id: 1, tokens: 90 },
            PromptPart { id: 2, tokens: 300 },
        ],
        ..prompt(7, 1)
    };
    assert_eq!(SharedPrefix::of(&short, None), []);
    let tokens = SharedPrefix::of(&prompt(7, 1), None);
    let tokens = tokens.iter().map(|prefix| prefix.tokens);
    assert_eq!(tokens.collect::<Vec<_>>(), [5_500]);
}
