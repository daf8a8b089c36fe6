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

/// What a book tells the VMs of its region of engines' caches.
fn news(book: &mut UpstreamBook, now: Duration) -> Vec<(VmId, Vec<CachedPrefix>)> {
    let messages = book.load_messages(now).into_iter();
    let news = messages.map(|(vm, message)| match message {
        LoadMessage::Group { cached, .. }
        | LoadMessage::Region { cached, .. }
        | LoadMessage::Report { cached, .. } => (vm, cached),
    });
    news.collect()
}

fn keep(book: &mut UpstreamBook, now: Duration, sets: &Sets, instance: &str, prompt: &Prompt) {
    let prefixes = SharedPrefix::of(prompt);
    book.keeps(now, &instance.into(), &prefixes, sets.homes.as_ref());
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

/// What was read for a workspace that is bound to region `b` is stored outside of its homes if an engine of
/// region `a` imports it, whoever asks. It may leave once a workspace that is bound to none has used it too.
#[rstest]
#[case::bound_elsewhere(&[Some("b")], false)]
#[case::bound_to_none(&[None], true)]
#[case::bound_to_both(&[Some("a")], true)]
#[case::used_by_both(&[Some("b"), None], true)]
#[case::used_by_both_the_other_way_round(&[None, Some("b")], true)]
fn what_is_kept_for_some_homes_does_not_leave_them(
    #[case] read_for: &[Option<&str>],
    #[case] leaves: bool,
) {
    let mut book = book(two_regions());
    let prompt = prompt(7, 1);
    for (n, home) in read_for.iter().enumerate() {
        let reader = Sets {
            homes: home.map(|home| set(&[home, "b"])),
            ..Sets::default()
        };
        keep(&mut book, ms(n as u64), &reader, "v1", &prompt);
    }
    let (_, source) = import(&book, ms(10), &Sets::default(), &prompt);
    assert_eq!(source.is_some(), leaves, "{source:?}");
}

/// The same within one region: it is stored there already.
#[test]
fn what_is_kept_for_some_homes_is_imported_inside_of_them() {
    let bound = Sets {
        homes: Some(set(&["a"])),
        ..Sets::default()
    };
    let mut book = book(two_regions());
    let prompt = prompt(7, 1);
    let (chosen, _) = import(&book, ms(0), &bound, &prompt);
    let other = if &*chosen == "u1" { "u2" } else { "u1" };
    keep(&mut book, ms(0), &bound, other, &prompt);
    let free = Sets {
        excluded: vec![other.into()],
        ..Sets::default()
    };
    let (_, source) = import(&book, ms(1), &free, &prompt);
    assert_eq!(&*source.expect("a source").instance, other);
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
#[case::long_unused(|book: &mut UpstreamBook| drop(book.load_messages(ms(40_000))))]
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
    // Each of the prompt's two shared beginnings.
    assert_eq!(away.len(), 2);
    for (book, region) in [
        (&mut first, ["vm1", "vm4"]),
        (&mut second, ["vm2", "vm3"]),
        (&mut third, ["vm2", "vm3"]),
    ] {
        book.set_vms(&region_vms(region.map(str::to_owned)));
    }
    assert_eq!(news(&mut first, ms(50)), [("vm4".into(), away.clone())]);
    second.caches_told(ms(60), away);
    assert_eq!(second.caches_for_others(), []);
    let messages = second.load_messages(ms(150));
    let [(to, message)] = messages.as_slice() else {
        panic!("one VM is told: {messages:?}");
    };
    assert_eq!(&**to, "vm3");
    third.load_told(ms(160), &"vm2".into(), message.clone());
    assert_eq!(news(&mut third, ms(160)), []);
    assert_eq!(third.caches_for_others(), []);
    assert!(import(&third, ms(161), &sets, &prompt).1.is_some());
    keep(&mut first, ms(6_000), &sets, "v1", &prompt);
    assert_eq!(first.caches_for_others().len(), 2);
}

/// Relays send each word on to a dozen VMs over links of 10 Mbit/s. With names and homes spelt out for each, those of
/// 2,000 words a second would be full.
#[test]
fn a_word_of_what_is_kept_is_short() {
    let cached = (0..1_000_u64).map(|n| CachedPrefix {
        homes: (n % 2 == 0).then(|| set(&["utara", "tengah"])),
        instance: (&*format!("i-{n}")).into(),
        prefix: n.wrapping_mul(0x9e37_79b9_7f4a_7c15),
    });
    let cached = cached.collect::<Vec<_>>();
    let message = LoadMessage::Report {
        cached: cached.clone(),
        number: 1,
        under_way: Vec::new(),
    };
    let bytes = postcard::to_stdvec(&message).expect("it encodes");
    assert!(bytes.len() <= 13_100, "{} bytes", bytes.len());
    let LoadMessage::Report { cached: read, .. } =
        postcard::from_bytes(&bytes).expect("it decodes")
    else {
        panic!("another message");
    };
    let sorted = |mut cached: Vec<CachedPrefix>| {
        cached.sort_by_key(|cached| cached.prefix);
        cached
    };
    assert_eq!(sorted(read), sorted(cached));
}

/// All VMs of a region use a new part at the same moment and tell their relay of it before they hear of one another. Passed
/// on as they come, one word would take as many places in each message as there are VMs.
#[test]
fn what_several_vms_tell_at_once_is_passed_on_once() {
    let mut relay = book_of("vm0", two_regions());
    relay.set_vms(&region_vms((0..9).map(|vm| format!("vm{vm}"))));
    let cached = CachedPrefix {
        homes: None,
        instance: "u1".into(),
        prefix: 7,
    };
    for vm in 1..9 {
        let message = LoadMessage::Report {
            cached: vec![cached.clone()],
            number: 1,
            under_way: Vec::new(),
        };
        relay.load_told(ms(vm), &format!("vm{vm}").into(), message);
    }
    assert_eq!(
        relay.caches_for_others().as_slice(),
        std::slice::from_ref(&cached)
    );
    let told = news(&mut relay, ms(50));
    assert_eq!(told.len(), 8);
    assert!(told.iter().all(|(_, news)| *news == [cached.clone()]));
}

/// Callers without end ask for parts that nobody has asked for before. What is known of them stays bounded.
#[test]
fn the_parts_that_are_known_are_bounded() {
    let mut directory = CacheDirectory::default();
    let cached = |prefix| CachedPrefix {
        homes: None,
        instance: "u1".into(),
        prefix,
    };
    for prefix in 0..20_000 {
        directory.begun(ms(0), &cached(prefix));
    }
    let known = (0..20_000).filter(|prefix| directory.keeps(ms(1), *prefix, "u1"));
    assert_eq!(known.count(), CacheDirectory::MOST);
    directory.sweep(ms(60_000));
    directory.begun(ms(60_000), &cached(7));
    assert!(directory.keeps(ms(60_000), 7, "u1"));
}

/// A VM of a fleet with one region has nobody to tell of another one. What it would tell goes on coming for weeks, and
/// must not fill its memory.
#[test]
fn what_nobody_is_told_is_bounded() {
    let mut directory = CacheDirectory::default();
    let cached = CachedPrefix {
        homes: None,
        instance: "u1".into(),
        prefix: 7,
    };
    for n in 0..20_000 {
        directory.begun(ms(n * 6_000), &cached);
    }
    assert_eq!(directory.take_for_others().len(), CacheDirectory::MOST);
}

/// A part of 90 tokens is read in the time that an import takes to be set up. It is imported all the same: the
/// engine's time is scarcer than its link's, and a request waits no more than 10 ms for it.
#[test]
fn short_parts_are_imported_too() {
    let sets = Sets::default();
    let mut book = book(two_regions());
    let part = |id, tokens| PromptPart { id, tokens };
    let short = Prompt {
        input: 390,
        parts: vec![part(1, 90), part(2, 300)],
        ..prompt(7, 1)
    };
    keep(&mut book, ms(0), &sets, "v1", &short);
    let (_, source) = import(&book, ms(1), &sets, &short);
    assert_eq!(source.expect("a source").tokens, 90);
}
