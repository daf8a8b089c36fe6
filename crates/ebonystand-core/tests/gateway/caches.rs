//! Cached prompt prefixes: which engine imports which prefix from which other one.

use {super::*, rstest::rstest};

/// Engines `u1` and `u2` in region `a`, where the book's VM is, and `v1` in region `b`.
fn two_regions() -> Vec<ListedUpstream> {
    vec![
        listed("u1", "a-1", 1),
        listed("u2", "a-2", 2),
        listed("v1", "b-1", 3),
    ]
}

/// Returns the cached prefixes that a book reports to each VM of its region.
fn cache_reports(book: &mut UpstreamBook, now: Duration) -> Vec<(VmId, Vec<CachedPrefix>)> {
    let messages = book.build_load_messages(now).into_iter();
    let news = messages.map(|(vm, message)| match message {
        LoadMessage::Group { cached, .. }
        | LoadMessage::Region { cached, .. }
        | LoadMessage::Report { cached, .. } => (vm, cached),
        LoadMessage::Contacts { .. } => panic!("no upstream is missed"),
        LoadMessage::Limits { .. } => panic!("no limit is named"),
        LoadMessage::Speeds { .. } => panic!("no speed is told"),
    });
    news.collect()
}

fn keep(book: &mut UpstreamBook, now: Duration, sets: &Sets, instance: &str, prompt: &Prompt) {
    let prefixes = SharedPrefix::list_in(prompt);
    book.record_cached_prefixes(now, &instance.into(), &prefixes, sets.homes.as_ref());
}

/// Returns the engine that a request goes to, and the source that it imports from.
fn import(
    book: &UpstreamBook,
    now: Duration,
    sets: &Sets,
    prompt: &Prompt,
) -> (Box<str>, Option<CacheSource>) {
    match book.choose_target(now, &sets.query(Some(prompt))) {
        TargetChoice::Upstream {
            instance, import, ..
        } => (instance, import),
        other => panic!("{other:?}"),
    }
}

/// An engine of another region has read a shared part. The first request with that part in this
/// region must read only its own part and import the rest instead of reading it again.
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
    let TargetChoice::Upstream { unread, .. } =
        book.choose_target(ms(1), &sets.query(Some(&second)))
    else {
        panic!("somebody can serve it");
    };
    assert_eq!(unread, 1_000);
}

/// An engine of the own region and one of another region cache the same prefix. The import must use
/// the nearer one, since bandwidth between regions is scarce.
#[test]
fn the_nearest_engine_exports() {
    let sets = Sets::default();
    let mut book = book(two_regions());
    let prompt = prompt(7, 1);
    let (chosen, _) = import(&book, ms(0), &sets, &prompt);
    let other = if &*chosen == "u1" { "u2" } else { "u1" };
    keep(&mut book, ms(0), &sets, other, &prompt);
    keep(&mut book, ms(5), &sets, "v1", &prompt);
    // The chosen engine owns the part and is idle, but has not read it.
    let excluded = Sets {
        excluded: vec![other.into()],
        ..Sets::default()
    };
    let (_, source) = import(&book, ms(6), &excluded, &prompt);
    assert_eq!(&*source.expect("a source").instance, other);
}

/// Prompts of a workspace that is bound to region `b` must not be stored outside of its homes. An
/// engine of region `a` that imported them for any other caller would do that. They may leave once
/// a workspace without homes has used the same prefix.
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

/// A prefix read for a workspace that is bound to region `a` is stored there already, so another
/// engine of that region may import it for any caller.
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

/// A workspace is bound to region `a`. An engine of region `b` must not be its import source,
/// whichever VM reports that it caches the prefix.
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

/// An engine that cached a prefix is unlisted, down, cold, replaced by another server, or has not
/// used the prefix for a long time. A request must not rely on its cache any more.
#[rstest]
#[case::unlisted(|book: &mut UpstreamBook| book.update_list(ms(10), ListScope::AllRegions, two_regions()[..2].to_vec()))]
#[case::down(|book: &mut UpstreamBook| book.record_attempt_end(ms(10), "v1", AttemptEnd::Unreachable, ms(1)))]
#[case::another_server(|book: &mut UpstreamBook| book.record_attempt_end(ms(10), "v1", AttemptEnd::AddressReused, ms(1)))]
#[case::cold(|book: &mut UpstreamBook| {
    let mut all = two_regions();
    all[2].cold_for = ms(3_000);
    book.update_list(ms(10), ListScope::AllRegions, all);
})]
#[case::long_unused(|book: &mut UpstreamBook| drop(book.build_load_messages(ms(40_000))))]
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

/// An engine is about to stop and gets no new requests. The others must import what it caches while
/// it still runs, or they would read it all again.
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
    book.update_list(ms(1), ListScope::AllRegions, all);
    let (chosen, source) = import(&book, ms(2), &sets, &prompt);
    assert_eq!(&*chosen, "u1");
    assert_eq!(&*source.expect("a source").instance, "u2");
}

/// Engines without a link between them must read prompts themselves.
#[test]
fn without_a_link_nothing_is_imported() {
    let sets = Sets::default();
    let mut book = book(two_regions());
    let prompt = prompt(7, 1);
    keep(&mut book, ms(0), &sets, "v1", &prompt);
    let mut query = sets.query(Some(&prompt));
    query.engine = Some(EngineSpec::default());
    let choice = book.choose_target(ms(1), &query);
    assert!(
        matches!(choice, TargetChoice::Upstream { import: None, .. }),
        "{choice:?}"
    );
}

/// Bandwidth between regions is scarce, so one VM of another region gets each report once and
/// passes it on within its region. A prefix that stays in use is reported again before the
/// receivers drop it as unused.
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
    let away = first.take_caches_for_regions();
    // One report for each of the prompt's two shared prefixes.
    assert_eq!(away.len(), 2);
    for (book, region) in [
        (&mut first, ["vm1", "vm4"]),
        (&mut second, ["vm2", "vm3"]),
        (&mut third, ["vm2", "vm3"]),
    ] {
        book.set_vms(ms(0), &region_vms(region.map(str::to_owned)));
    }
    assert_eq!(
        cache_reports(&mut first, ms(50)),
        [("vm4".into(), away.clone())]
    );
    second.receive_region_caches(ms(60), away);
    assert_eq!(second.take_caches_for_regions(), []);
    let messages = second.build_load_messages(ms(150));
    let [(to, message)] = messages.as_slice() else {
        panic!("one VM is told: {messages:?}");
    };
    assert_eq!(&**to, "vm3");
    third.receive_load_message(ms(160), &"vm2".into(), message.clone());
    assert_eq!(cache_reports(&mut third, ms(160)), []);
    assert_eq!(third.take_caches_for_regions(), []);
    assert!(import(&third, ms(161), &sets, &prompt).1.is_some());
    keep(&mut first, ms(6_000), &sets, "v1", &prompt);
    assert_eq!(first.take_caches_for_regions().len(), 2);
}

/// Relays send each cache report on to a dozen VMs over links of 10 Mbit/s. With names and homes
/// written out in each one, 2,000 reports per second would fill the links.
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

/// All VMs of a region use a new prefix at the same moment and report it to their relay before they
/// hear of one another. Passed on as they arrive, the reports would take as many places in each
/// message as there are VMs.
#[test]
fn what_several_vms_tell_at_once_is_passed_on_once() {
    let mut relay = book_of("vm0", two_regions());
    relay.set_vms(ms(0), &region_vms((0..9).map(|vm| format!("vm{vm}"))));
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
        relay.receive_load_message(ms(vm), &format!("vm{vm}").into(), message);
    }
    assert_eq!(
        relay.take_caches_for_regions().as_slice(),
        std::slice::from_ref(&cached)
    );
    let told = cache_reports(&mut relay, ms(50));
    assert_eq!(told.len(), 8);
    assert!(told.iter().all(|(_, news)| *news == [cached.clone()]));
}

/// Callers keep sending prompts with prefixes never seen before. The directory must not grow
/// without bound.
#[test]
fn the_parts_that_are_known_are_bounded() {
    let mut directory = CacheDirectory::default();
    let cached = |prefix| CachedPrefix {
        homes: None,
        instance: "u1".into(),
        prefix,
    };
    for prefix in 0..20_000 {
        directory.record_cached(ms(0), &cached(prefix));
    }
    let known = (0..20_000).filter(|prefix| directory.is_cached(ms(1), *prefix, "u1"));
    assert_eq!(known.count(), CacheDirectory::MAX_PREFIXES);
    directory.remove_expired(ms(60_000));
    directory.record_cached(ms(60_000), &cached(7));
    assert!(directory.is_cached(ms(60_000), 7, "u1"));
}

/// A VM of a fleet with a single region has no other region to report to. The reports pending for
/// other regions accumulate for weeks and must not fill its memory.
#[test]
fn what_nobody_is_told_is_bounded() {
    let mut directory = CacheDirectory::default();
    let cached = CachedPrefix {
        homes: None,
        instance: "u1".into(),
        prefix: 7,
    };
    for n in 0..20_000 {
        directory.record_cached(ms(n * 6_000), &cached);
    }
    assert_eq!(
        directory.take_for_other_regions().len(),
        CacheDirectory::MAX_PREFIXES
    );
}

/// Reading a part of 90 tokens takes as long as setting up an import. The part must be imported all
/// the same: the engine's time is scarcer than its link's, and the request waits at most 10 ms for
/// it.
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

/// Guards against news of cached prefixes that fill the links of a large fleet, although no VM can
/// use them: the list of a large region does not cover the engines of others.
#[rstest]
#[case::covers_all_regions(ListScope::AllRegions, true)]
#[case::covers_the_own_region(ListScope::OwnRegion, false)]
fn regions_tell_one_another_of_caches_if_they_know_their_engines(
    #[case] scope: ListScope,
    #[case] tells: bool,
) {
    let sets = Sets::default();
    let mut book = book(two_regions());
    book.update_list(ms(0), scope, two_regions()[..2].to_vec());
    let prompt = prompt(7, 1);
    keep(&mut book, ms(0), &sets, "u1", &prompt);
    assert_eq!(!book.take_caches_for_regions().is_empty(), tells);
    let of_other_region = CachedPrefix {
        homes: None,
        instance: "v1".into(),
        prefix: SharedPrefix::list_in(&prompt)[0].id,
    };
    book.receive_region_caches(ms(1), vec![of_other_region]);
    let reports = cache_reports(&mut book, ms(2));
    let told = reports.iter().flat_map(|(_, cached)| cached);
    let has_other = told.clone().any(|cached| cached.instance == "v1".into());
    assert!(!has_other || tells);
}

/// Guards against a caller's header whose numbers overflow the sums of the VM that reads it.
#[test]
fn parts_with_more_tokens_than_can_be_counted_are_all_of_the_prompt() {
    let part = |id| PromptPart {
        id,
        tokens: Tokens::MAX,
    };
    let prompt = Prompt {
        input: 1_000,
        model: "m".into(),
        output: Tokens::MAX,
        parts: (1..=3).map(part).collect(),
    };
    assert_eq!((prompt.shared_tokens(), prompt.own_tokens()), (1_000, 0));
    let mut book = book(vec![listed("u1", "a-1", 1)]);
    for _ in 0..2 {
        let sets = Sets::default();
        let query = sets.query(Some(&prompt));
        book.record_sent(ms(0), &query, "u1", 0);
        let choice = book.choose_target(ms(0), &query);
        assert!(
            matches!(choice, TargetChoice::Upstream { .. }),
            "{choice:?}"
        );
    }
}
