//! Validation and replacement of the routing, and how long a VM may rely on its copy.

use {super::*, rstest::rstest};

fn put(catalog: &mut Catalog, request: &str, routing: Routing) -> ChangeOutcome {
    let regions = BTreeMap::from([("a".into(), Region::default())]);
    let change = Change::PutRouting {
        regions,
        routing: Box::new(routing),
    };
    apply(catalog, request, change)
}

fn apply(catalog: &mut Catalog, request: &str, change: Change) -> ChangeOutcome {
    catalog.apply(&ChangeRequest {
        change,
        expected_version: None,
        request_id: request.into(),
    })
}

fn accepted(outcome: &ChangeOutcome) -> bool {
    matches!(outcome, ChangeOutcome::Accepted { .. })
}

#[rstest]
#[case::longest("/a/b/c", Some("inner"))]
#[case::outer("/a/x", Some("outer"))]
#[case::other_place("/b/", None)]
fn the_longest_prefix_serves(#[case] path: &str, #[case] wanted: Option<&str>) {
    let mut routing = routing(1);
    routing.routes = vec![route("outer", "/a/"), route("inner", "/a/b/")];
    let table = RouteTable::from(routing);
    let found = |host| table.find_route(host, path).map(|route| &*route.name);
    assert_eq!(found("h"), wanted);
    assert_eq!(found("h:8080"), wanted);
    assert_eq!(found("other"), None);
}

#[test]
fn a_split_follows_its_weights_and_equal_prompts_stay_together() {
    let mut split = route("r", "/a/");
    let part = |service: &str, weight| SplitPart {
        service: service.into(),
        weight,
    };
    split.split = vec![part("s", 90), part("t", 10), part("none", 0)];
    let count = |service: &str| {
        let hashes = 0..1_000_u64;
        hashes
            .filter(|hash| split.select_service(*hash).is_some_and(|s| **s == *service))
            .count()
    };
    assert_eq!((count("s"), count("t"), count("none")), (900, 100, 0));
    assert_eq!(prompt(7, 1).placement_hash(), prompt(7, 2).placement_hash());
    assert_ne!(prompt(7, 1).placement_hash(), prompt(8, 1).placement_hash());
}

#[rstest]
#[case::unknown_service(|routing: &mut Routing| routing.services.clear())]
#[case::no_weight(|routing: &mut Routing| routing.routes[0].split[0].weight = 0)]
#[case::no_split(|routing: &mut Routing| routing.routes[0].split.clear())]
#[case::no_timeout(|routing: &mut Routing| routing.routes[0].timeout_ms = 0)]
#[case::same_place(|routing: &mut Routing| routing.routes.push(route("r2", "/a/")))]
#[case::shared_key(|routing: &mut Routing| routing.workspaces.push(workspace("v", &["key"])))]
fn a_faulty_routing_is_refused_whatever_its_number(#[case] spoil: fn(&mut Routing)) {
    for revision in [1, 5, 9] {
        let mut catalog = Catalog::default();
        assert!(accepted(&put(&mut catalog, "first", routing(5))));
        let mut faulty = routing(revision);
        spoil(&mut faulty);
        assert!(!faulty.faults().is_empty());
        let outcome = put(&mut catalog, "second", faulty);
        assert!(matches!(outcome, ChangeOutcome::Refused { .. }));
        assert_eq!(catalog.document().routing, routing(5));
    }
}

#[test]
fn one_workspace_may_have_a_key_twice() {
    let mut routing = routing(1);
    routing.workspaces = vec![workspace("w", &["key", "key"])];
    assert_eq!(routing.faults(), []);
}

/// The answer to an operator is lost, and the operator sends the same configuration again.
/// Meanwhile another operator has put a higher revision in force, or different content arrives
/// under the same revision. All are accepted, and the first content of the highest revision stays
/// in force.
#[test]
fn the_highest_number_stays_in_force_and_others_are_accepted_without_effect() {
    let mut catalog = Catalog::default();
    assert!(accepted(&put(&mut catalog, "1", routing(5))));
    let version = catalog.version();
    for (request, revision) in [("2", 5), ("3", 3)] {
        let mut other = routing(revision);
        other.source = "other".into();
        assert!(accepted(&put(&mut catalog, request, other)));
    }
    assert_eq!(catalog.document().routing, routing(5));
    assert_eq!(catalog.version(), version);
    assert!(accepted(&put(&mut catalog, "4", routing(9))));
    assert_eq!(&*catalog.document().routing.source, "revision 9");
}

#[test]
fn a_routing_brings_its_limited_workspaces_for_the_allowances() {
    let mut catalog = Catalog::default();
    let mut routing = routing(1);
    let mut free = workspace("free", &["other"]);
    free.quota = None;
    routing.workspaces.push(free);
    put(&mut catalog, "1", routing);
    let workspaces = &catalog.document().workspaces;
    assert_eq!(workspaces.keys().map(|id| &**id).collect::<Vec<_>>(), ["w"]);
    assert_eq!(workspaces["w"].residency, set(&["a"]));
}

/// An operator applies a document that predates the current routing and an evacuation. Both have
/// commands of their own, and an outdated file must not undo them.
#[test]
fn a_document_that_is_applied_undoes_neither_a_routing_nor_an_evacuation() {
    let mut catalog = Catalog::default();
    put(&mut catalog, "1", routing(5));
    let evacuate = Change::SetEvacuated {
        evacuated: true,
        zone: "a-1".into(),
    };
    assert!(accepted(&apply(&mut catalog, "2", evacuate)));
    let outcome = catalog.apply(&ChangeRequest {
        change: Change::Apply {
            document: Box::new(Document::default()),
        },
        expected_version: Some(catalog.version()),
        request_id: "3".into(),
    });
    assert!(accepted(&outcome));
    assert_eq!(catalog.document().routing.revision, 5);
    assert_eq!(catalog.document().evacuated, set(&["a-1"]));
}

#[test]
fn an_evacuation_that_is_ordered_again_changes_nothing() {
    let mut catalog = Catalog::default();
    for (request, evacuated) in [("1", true), ("2", true), ("3", false), ("4", false)] {
        let zone = "a-1".into();
        let change = Change::SetEvacuated { evacuated, zone };
        assert!(accepted(&apply(&mut catalog, request, change)));
        assert_eq!(catalog.document().evacuated.len(), usize::from(evacuated));
    }
    assert_eq!(catalog.version(), 2);
}

/// A key is revoked while a VM is partitioned from the rest. The VM receives no messages and must
/// stop serving from its old copy within the bound, counted from its last question rather than from
/// a late answer.
#[test]
fn a_copy_that_nobody_confirms_is_not_served_from() {
    let mut confirmation = Confirmation::new(ms(4_000));
    assert!(!confirmation.is_valid(ms(0)));
    confirmation.record_answer(ms(1_000), 7, 7);
    assert!(confirmation.is_valid(ms(4_999)));
    assert!(!confirmation.is_valid(ms(5_000)));
    confirmation.record_answer(ms(2_000), 8, 7);
    assert!(!confirmation.is_valid(ms(5_000)), "a newer version exists");
    confirmation.record_answer(ms(2_000), 8, 8);
    assert!(confirmation.is_valid(ms(5_999)));
    assert!(!confirmation.is_valid(ms(6_000)));
    confirmation.record_answer(ms(1_500), 8, 8);
    assert!(
        confirmation.is_valid(ms(5_999)),
        "an older answer takes nothing back"
    );
}

/// A VM that holds parts of allowances dies and another one joins. The holders must stay while one
/// of the region's holders is live: a part that moves is unusable for a while, and its tokens are
/// missing meanwhile.
#[test]
fn holders_stay_while_one_of_them_lives() {
    let regions = set(&["a", "b"]);
    let live = |vms: &[(&str, &str)]| {
        let vms = vms
            .iter()
            .map(|(vm, region)| (Box::from(*vm), Box::from(*region)));
        vms.collect::<Vec<(VmId, RegionId)>>()
    };
    let plan = |present: &BTreeMap<RegionId, Region>, live: &[(VmId, RegionId)]| {
        let delay = ms(60);
        let regions = &regions;
        HolderPlan {
            region_delay: delay,
            live,
            current: present,
            regions,
        }
        .plan_regions()
    };
    let first = plan(
        &BTreeMap::new(),
        &live(&[("1", "a"), ("2", "a"), ("3", "b")]),
    );
    assert_eq!(first["a"].holders, ["1".into(), "2".into()]);
    assert_eq!(first["a"].links["b"].delay_ms, 60);
    let second = plan(&first, &live(&[("2", "a"), ("4", "a"), ("3", "b")]));
    assert_eq!(second, first);
    let third = plan(&second, &live(&[("4", "a"), ("3", "b")]));
    assert_eq!(third["a"].holders, ["4".into()]);
    assert_eq!(third["b"], first["b"]);
}

/// Changes accepted on both sides of a cut between regions must not take the parts of either side
/// away.
#[test]
fn a_cut_between_regions_moves_no_holder() {
    let regions = set(&["a", "b"]);
    let all: [(VmId, RegionId); 3] = [
        ("1".into(), "a".into()),
        ("2".into(), "b".into()),
        ("3".into(), "b".into()),
    ];
    let plan = |current: &BTreeMap<RegionId, Region>, live: &[(VmId, RegionId)]| {
        let plan = HolderPlan {
            region_delay: ms(60),
            live,
            current,
            regions: &regions,
        };
        plan.plan_regions()
    };
    let before = plan(&BTreeMap::new(), &all);
    let seen_from_b = plan(&before, &all[1..]);
    assert_eq!(seen_from_b, before);
    assert_eq!(plan(&seen_from_b, &all[..1]), before);
}

/// The usage that a quota permits in any window, including the part of the overage granted in
/// advance, must stay within the tolerated overage.
#[test]
fn a_quota_with_its_overage_stays_within_what_is_borne() {
    for rate in [1, 100, 300_000] {
        let quota = Quota {
            burst: rate,
            rate,
            unit: QuotaUnit::Tokens,
        };
        let given = quota.with_overage(ms(8_000), 100, 140_000);
        let borne = (rate * 8 + rate) * 11 / 10 + 140_000;
        assert!(given.burst + given.rate * 8 <= borne);
        assert!(given.burst > quota.burst);
        assert_eq!(given.rate, rate);
    }
}
