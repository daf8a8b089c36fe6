//! Choice of the upstream that gets a request, and the upstreams that must never get it.

mod common;

use {common::*, ebonystand_core::*, rstest::rstest, std::time::Duration};

/// A family's requests may only run in iroise. Its VM is in armor, which has ten idle upstreams,
/// while both upstreams in iroise are busy. Whatever the load, no request may go to another region,
/// neither at first nor when a retry excludes the upstream that failed.
#[rstest]
fn no_request_leaves_its_residency(#[values(0, 2_000, 1_000_000)] queued: Tokens) {
    let mut router = router(&document(&[10, 10, 2]));
    let (target, residency) = (model(), regions(&["iroise"]));
    let mut query = query(&target, &residency);
    router.record_load_report(ms(1), "iroise-0", report(queued));
    router.record_load_report(ms(1), "iroise-1", report(queued));
    for n in 0..200 {
        if let Ok(route) = router.route(ms(n), &query) {
            assert_eq!(&*route.region, "iroise");
        }
    }
    let failed = ["iroise-0".into()];
    query.excluded = &failed;
    if let Ok(route) = router.route(ms(200), &query) {
        assert_eq!(&*route.upstream, "iroise-1");
    }
    let failed = ["iroise-0".into(), "iroise-1".into()];
    query.excluded = &failed;
    let refusal = router.route(ms(200), &query).expect_err("none is left");
    assert_eq!(refusal.code, RefusalCode::NoUpstream);
}

/// A workspace's prompts are cached in armor when an operator narrows its residency to argoat. The
/// prefix hint must not route its next request back to armor.
#[test]
fn a_prefix_hint_never_overrides_residency() {
    let mut router = router(&document(&[1, 1, 0]));
    let target = model();
    for (residency, expected) in [("armor", "armor-0"), ("argoat", "argoat-0")] {
        let residency = regions(&[residency]);
        let mut query = query(&target, &residency);
        query.prefix_tokens = 700;
        let route = router.route(ms(1), &query).expect("idle");
        assert_eq!(&*route.upstream, expected);
    }
}

/// A request is routed and then waits for a slot. Meanwhile an operator narrows the workspace's
/// residency, sets the upstream to leaving, moves its name to a server in another region, removes
/// it or changes its models. The check right before the dispatch must reject the upstream.
#[rstest]
#[case::residency(|_: &mut Document| (), &["argoat"])]
#[case::leaving(|document: &mut Document| {
    document.upstreams.get_mut("armor-0").unwrap().leaving = true;
}, &["armor"])]
#[case::moved(|document: &mut Document| {
    document.upstreams.get_mut("armor-0").unwrap().region = "iroise".into();
}, &["armor"])]
#[case::removed(|document: &mut Document| {
    document.upstreams.remove("armor-0");
}, &["armor"])]
#[case::other_model(|document: &mut Document| {
    document.upstreams.get_mut("armor-0").unwrap().kind = UpstreamKind::Model {
        models: [ModelId::from("drafting")].into(),
    };
}, &["armor"])]
fn a_change_in_flight_is_seen_before_dispatch(
    #[case] change: fn(&mut Document),
    #[case] residency: &[&str],
) {
    let mut document = document(&[1, 1, 1]);
    let mut router = router(&document);
    let (target, before, after) = (model(), regions(&["armor"]), regions(residency));
    let route = router.route(ms(1), &query(&target, &before)).expect("idle");
    assert!(router.can_dispatch(ms(1), &query(&target, &before), &route.upstream));
    document.version = 2;
    change(&mut document);
    router.configure(ms(2), &document);
    assert!(!router.can_dispatch(ms(3), &query(&target, &after), &route.upstream));
}

/// Two documents arrive out of order. The older one arrives last and must not undo the newer one,
/// which sets an upstream to leaving.
#[test]
fn an_older_document_changes_nothing() {
    let old = document(&[1, 0, 0]);
    let mut new = old.clone();
    new.version = 2;
    new.upstreams.get_mut("armor-0").expect("it exists").leaving = true;
    let mut router = router(&new);
    router.configure(ms(1), &old);
    let (target, residency) = (model(), regions(&["armor"]));
    assert!(router.route(ms(2), &query(&target, &residency)).is_err());
}

/// An upstream refuses connections while its last report shows it idle, and each request sent there
/// wastes its caller's time. After three failures the VM must send it no requests for a while, then
/// a single one, and more only after that one was answered.
#[test]
fn a_dead_upstream_gets_no_requests_but_one_probe() {
    let mut router = router(&document(&[1, 0, 0]));
    let (target, residency) = (model(), regions(&["armor"]));
    let query = query(&target, &residency);
    for n in 0..3 {
        let route = router.route(ms(n), &query).expect("closed");
        router.record_dispatch(ms(n), &route.upstream, route.work);
        router.record_dispatch_end(ms(n), &route.upstream, DispatchEnd::Failed);
    }
    let refusal = router.route(ms(500), &query).expect_err("open");
    assert!(refusal.retry_after.is_some());
    let route = router.route(ms(1_100), &query).expect("a probe");
    router.record_dispatch(ms(1_100), &route.upstream, route.work);
    assert!(router.route(ms(1_101), &query).is_err(), "one at a time");
    let first_token = ms(50);
    router.record_dispatch_end(
        ms(1_200),
        &route.upstream,
        DispatchEnd::Answered { first_token },
    );
    assert!(router.route(ms(1_201), &query).is_ok());
}

/// One upstream of five is slow for a reason of its own: its queue is empty, but each answer takes
/// two seconds to its first token. By its reports it is the idlest and would attract every request.
#[test]
fn an_upstream_whose_answers_are_late_gets_few_requests() {
    let mut router = router(&document(&[5, 0, 0]));
    let (target, residency) = (model(), regions(&["armor"]));
    let mut slow = 0;
    for n in 0..500 {
        let route = router.route(ms(n * 20), &query(&target, &residency));
        let route = route.expect("idle");
        let is_slow = &*route.upstream == "armor-0";
        slow += u32::from(is_slow);
        router.record_dispatch(ms(n * 20), &route.upstream, route.work);
        let first_token = ms(if is_slow { 2_000 } else { 100 });
        let end = DispatchEnd::Answered { first_token };
        router.record_dispatch_end(ms(n * 20 + 1), &route.upstream, end);
        router.record_load_report(ms(n * 20 + 1), &route.upstream, report(0));
    }
    assert!(slow < 50, "{slow} of 500; a fifth would be 100");
}

/// A fifth upstream with cold caches is added to a region. It must reach its full share of the
/// requests over the preset's slow start, not at once.
#[test]
fn a_cold_upstream_gets_its_share_slowly() {
    let mut document = document(&[4, 0, 0]);
    let mut router = router(&document);
    document.version = 2;
    document
        .upstreams
        .insert("armor-new".into(), upstream("armor", 1_000));
    router.configure(ms(0), &document);
    let (target, residency) = (model(), regions(&["armor"]));
    let mut share = |from: Duration| {
        let step = ms(4);
        let mut cold = 0;
        for n in 0..250 {
            let now = from + step * n;
            let route = router
                .route(now, &query(&target, &residency))
                .expect("idle");
            router.record_dispatch(now, &route.upstream, route.work);
            cold += u32::from(&*route.upstream == "armor-new");
            if n % 25 == 24 {
                for id in document.upstreams.keys() {
                    router.record_load_report(now, id, report(0));
                }
            }
        }
        cold
    };
    let first = share(ms(0));
    let warm = share(ms(11_000));
    assert!(warm >= 35, "a fifth of 250 requests when warm, got {warm}");
    assert!(
        first * 2 <= warm,
        "{first} in the first second, {warm} when warm"
    );
}

/// Armor is busy, and argoat is idle behind a link of 15 ms. A request is sent away only if the
/// predicted gain exceeds the preset's threshold; a small gain is not worth the link.
#[rstest]
#[case(60, 0, true)]
#[case(60, 150, false)]
#[case(200, 150, true)]
fn a_request_is_sent_away_only_for_a_gain(
    #[case] queued: Tokens,
    #[case] threshold: u64,
    #[case] away: bool,
) {
    let mut document = document(&[1, 1, 0]);
    document.presets.ordinary.send_away_gain_ms = threshold;
    let mut router = router(&document);
    router.record_load_report(ms(1), "armor-0", report(queued));
    let (target, residency) = (model(), regions(&["armor", "argoat"]));
    let route = router
        .route(ms(1), &query(&target, &residency))
        .expect("idle");
    assert_eq!(&*route.region == "argoat", away, "{route:?}");
    assert_eq!(route.reason == RouteReason::SentAway, away);
}

/// All upstreams have seconds of work queued. The caller must learn at once that its request would
/// be late, and when to retry. A single upstream below the limit must be found, however few are
/// sampled.
#[test]
fn overload_is_refused_at_once_with_a_time_to_come_back() {
    let mut router = router(&document(&[30, 0, 0]));
    let (target, residency) = (model(), regions(&["armor"]));
    for n in 0..30 {
        router.record_load_report(ms(1), &format!("armor-{n}"), report(8_000));
    }
    let refusal = router
        .route(ms(1), &query(&target, &residency))
        .expect_err("8 s of work before a limit of 5 s");
    assert_eq!(refusal.code, RefusalCode::Overloaded);
    assert_eq!(refusal.run, RunState::NotRun);
    let retry_after = refusal.retry_after.expect("a time to come back");
    assert!(
        ms(2_500) < retry_after && retry_after < ms(4_000),
        "{retry_after:?}"
    );
    router.record_load_report(ms(2), "armor-17", report(1_000));
    let route = router
        .route(ms(2), &query(&target, &residency))
        .expect("found");
    assert_eq!(&*route.upstream, "armor-17");
    let mut hurried = query(&target, &residency);
    hurried.deadline = ms(500);
    assert!(router.route(ms(2), &hurried).is_err(), "1 s before 500 ms");
}

/// Two workspaces send the same prompt prefix. The first one finds it cached again. The other must
/// not be routed by it, or its time to first token would reveal what the first one sent. A gap in
/// the cache events drops the affinity but no request.
#[test]
fn prefix_affinity_stays_in_its_workspace_and_ends_with_a_gap() {
    let mut router = router(&document(&[8, 0, 0]));
    let (target, residency) = (model(), regions(&["armor"]));
    let mut query = query(&target, &residency);
    (query.prefix, query.prefix_tokens) = (11, 700);
    let first = router.route(ms(1), &query).expect("idle");
    let mut affine = |workspace: &str| {
        let query = RouteQuery {
            workspace,
            ..query.clone()
        };
        let route = router.route(ms(2), &query).expect("idle");
        (route.reason == RouteReason::Affinity).then_some(route.upstream)
    };
    assert_eq!(affine("w"), Some(first.upstream.clone()));
    assert_eq!(affine("other"), None);
    let gap = CacheEvent {
        change: CacheChange::Stored,
        prefix_key: 1,
        sequence: 9,
    };
    router.handle_cache_event(&first.upstream, gap);
    let route = router.route(ms(3), &query).expect("idle");
    assert_ne!(route.reason, RouteReason::Affinity);
}

/// Nine VMs share ten engines with eight slots each. If each VM let through as many requests as all
/// engines hold, the fair queues would never fill, and a burst would wait at the engines ahead of
/// the other workspaces.
#[test]
fn a_vm_takes_its_share_of_the_batches() {
    let mut router = router(&document(&[10, 0, 0]));
    assert_eq!(
        router.dispatch_slots(ms(0), &model()),
        100,
        "alone, with a quarter more"
    );
    for n in 0..10 {
        let id = format!("armor-{n}");
        router.record_dispatch(ms(1), &id, 300);
        let running = LoadReport {
            running: 9,
            ..report(0)
        };
        router.record_load_report(ms(2), &id, running);
    }
    assert_eq!(router.dispatch_slots(ms(2), &model()), 12);
}

/// Guards against a leaving VM that takes the time to the first token of an answer for that to its end.
#[test]
fn an_answer_ends_later_the_more_tokens_it_may_have() {
    let mut router = router(&document(&[1, 0, 0]));
    let (target, residency) = (model(), regions(&["armor"]));
    let mut query = query(&target, &residency);
    let mut writing = |tokens| {
        query.max_tokens = tokens;
        let route = router.route(ms(1), &query).expect("idle");
        route.predicted_end - route.predicted
    };
    let (short, long) = (writing(100), writing(10_000));
    assert!(short > Duration::ZERO);
    assert!(
        long > short * 99 && long < short * 101,
        "{short:?}, {long:?}"
    );
}
