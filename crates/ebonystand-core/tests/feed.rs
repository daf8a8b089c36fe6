//! Tests of the distribution of the configuration to all VMs.

#[path = "common/feeds.rs"]
mod feeds;

use {
    ebonystand_core::{
        AcceptedChange, CallKind, Change, Document, Feed, FeedInput, FeedMessage, FeedOutput,
        GatewayRoute, GatewayService, PresetName, Routing, SplitPart, Version,
    },
    feeds::{FeedFleet, Link, give_key, put_workspace},
    rand::{RngExt, SeedableRng},
    rand_pcg::Pcg64Mcg,
    rstest::rstest,
    std::time::Duration,
};

const SECOND: Duration = Duration::from_secs(1);

/// Returns a random change; some are faulty and are refused.
fn random_change(feeds: &mut FeedFleet) -> Change {
    let id = format!("w{}", feeds.rng.random_range(0..9));
    let rate = feeds.rng.random_range(1..1_000);
    match feeds.rng.random_range(0..20) {
        0 => Change::RemoveWorkspace { id: id.into() },
        1 => Change::Apply {
            document: Box::new(Document {
                keys: Default::default(),
                ..feeds.vms[0].catalog.document().clone()
            }),
        },
        2..8 => give_key(&format!("k{}", feeds.rng.random::<u16>()), &id),
        8..10 => Change::SwitchPreset {
            name: PresetName::Peak,
        },
        _ => put_workspace(&id, rate),
    }
}

/// VMs without disks restart while changes spread over a network that loses, duplicates and
/// reorders a fifth of the messages. A caller of a ready VM must never see an older configuration
/// than before, nor a mixture of two, and all VMs must end at the newest one.
#[test]
fn no_vm_ever_reverts() {
    for seed in 0..40 {
        let mut feeds = FeedFleet::new(9, seed);
        feeds.loss = 0.2;
        for _ in 0..300 {
            let change = random_change(&mut feeds);
            feeds.change(change);
            let pause = feeds.rng.random_range(0..200);
            feeds.run(Duration::from_millis(pause));
            if feeds.rng.random_bool(0.05) {
                let vm = feeds.rng.random_range(1..9);
                feeds.restart(vm);
            }
        }
        feeds.run(20 * SECOND);
        let newest: Version = feeds.version(0);
        for vm in 0..9 {
            assert_eq!(feeds.version(vm), newest, "seed {seed}, VM {vm}");
            assert!(feeds.vms[vm].feed.is_ready(), "seed {seed}, VM {vm}");
        }
    }
}

/// A document of several parts is replaced, so that serving VMs copy it, and keeps changing
/// meanwhile. Parts of different versions must not be put in force as one document, and a VM that
/// starts must not serve with an early version of it.
#[test]
fn a_document_copied_while_it_changes_is_of_one_version() {
    for seed in (0..8).chain([93, 167]) {
        let mut feeds = FeedFleet::new(4, seed);
        feeds.change(put_workspace("w0", 1));
        for key in 0..3 * Document::PART_ENTRIES {
            feeds.change(give_key(&format!("k{key:04}"), "w0"));
        }
        feeds.loss = 0.1;
        for round in 0..200 {
            if round % 40 == 0 {
                feeds.restart(1 + round / 40 % 3);
                let document = Box::new(feeds.vms[0].catalog.document().clone());
                feeds.change(Change::Apply { document });
            }
            let key = feeds.rng.random_range(0..3 * Document::PART_ENTRIES);
            let id = format!("k{key:04}").into();
            feeds.change(Change::WithdrawKey { id });
            feeds.change(give_key(&format!("k{key:04}-{round}"), "w0"));
            feeds.run(Duration::from_millis(100));
        }
        feeds.run(20 * SECOND);
        assert!(
            (0..4).all(|vm| feeds.version(vm) == feeds.version(0)),
            "seed {seed}"
        );
    }
}

/// Returns a fleet on all of whose VMs the key `k0` is in force.
fn fleet_with_key(count: usize) -> FeedFleet {
    let mut feeds = FeedFleet::new(count, 7);
    feeds.change(put_workspace("w0", 1));
    feeds.change(give_key("k0", "w0"));
    feeds.run(10 * SECOND);
    feeds
}

/// Returns whether all of the VMs know that the key `k0` is withdrawn.
fn all_know_withdrawal(feeds: &FeedFleet, vms: impl Iterator<Item = usize>) -> bool {
    let mut vms = vms.map(|vm| &feeds.vms[vm]);
    vms.all(|vm| {
        let key = vm.catalog.document().keys.get("k0");
        vm.feed.withdrawals().contains("k0") || key.is_some_and(|key| key.withdrawn)
    })
}

/// A region is cut off from the log, and an operator there withdraws a key on one of its VMs. All
/// VMs of the region must refuse the key within two seconds, although the log is out of reach. Once
/// the partition heals, the log must make the withdrawal permanent, and nothing may restore the
/// key.
#[test]
fn a_withdrawal_in_a_cut_off_region_reaches_all_its_vms_and_then_the_log() {
    let mut feeds = fleet_with_key(30);
    feeds.loss = 0.1;
    let inside = |vm: &usize| vm % 3 == 1;
    let links = (0..30).flat_map(|from| (0..30).map(move |to| (from, to)));
    feeds.cut_links = links
        .filter(|(from, to)| inside(from) != inside(to))
        .collect();
    feeds.input(4, FeedInput::Withdraw { key: "k0".into() });
    feeds.run(2 * SECOND);
    assert!(all_know_withdrawal(&feeds, (0..30).filter(inside)));
    assert!(!all_know_withdrawal(&feeds, 0..1));
    feeds.cut_links.clear();
    feeds.run(5 * SECOND);
    assert!(all_know_withdrawal(&feeds, 0..30));
    assert!(feeds.vms[0].catalog.document().keys["k0"].withdrawn);
    feeds.run(5 * SECOND);
    let pending = |vm: &feeds::Vm| vm.feed.withdrawals().pending().count();
    assert!(feeds.vms.iter().all(|vm| pending(vm) == 0));
}

/// A member of the log lags behind another member, which pushes a change. It must wait for the log:
/// a change that it put in force by itself would be missing from the state on which its log builds.
#[test]
fn a_member_of_the_log_takes_changes_from_the_log_only() {
    let mut feed = Feed::new("a".into(), vec!["a".into(), "b".into()], Duration::ZERO, 1);
    let change = AcceptedChange {
        change: put_workspace("w", 1),
        version: 1,
    };
    let message = FeedMessage::Changes {
        changes: vec![change],
        version: 1,
    };
    let from = "b".into();
    let input = FeedInput::Message { from, message };
    let outputs = feed.step(Duration::ZERO, &Document::default(), input);
    assert_eq!(outputs, []);
}

/// Hundreds of keys, more than a message carries, are withdrawn on a VM that reaches no other. Once
/// the partition heals, all VMs must learn of each withdrawal, and the log must have them all.
#[test]
fn many_withdrawals_on_a_vm_that_reaches_nobody_arrive_after_the_heal() {
    const KEYS: usize = 300;
    let mut feeds = fleet_with_key(9);
    for key in 0..KEYS {
        feeds.change(give_key(&format!("n{key}"), "w0"));
    }
    feeds.run(5 * SECOND);
    feeds.cut_links = (0..9).filter(|vm| *vm != 4).map(|vm| (4, vm)).collect();
    for key in 0..KEYS {
        let key = format!("n{key}").into();
        feeds.input(4, FeedInput::Withdraw { key });
    }
    feeds.run(SECOND);
    feeds.cut_links.clear();
    feeds.run(3 * SECOND);
    for vm in &feeds.vms {
        let known = vm.feed.withdrawals().pending().count();
        let in_document = vm.catalog.document().keys.values();
        let in_document = in_document.filter(|key| key.withdrawn).count();
        assert!(known + in_document >= KEYS, "{known} and {in_document}");
    }
    feeds.run(15 * SECOND);
    let withdrawn = feeds.vms[0].catalog.document().keys.values();
    assert_eq!(withdrawn.filter(|key| key.withdrawn).count(), KEYS);
}

/// A VM without a disk restarts in a region that is cut off from the log's leader. It must serve
/// again after a bounded wait, with the highest version among the VMs that it reaches.
#[test]
fn a_restart_in_a_cut_off_region_takes_what_its_peers_have() {
    let mut feeds = fleet_with_key(9);
    feeds.cut_links = (0..9)
        .filter(|vm| vm % 3 != 1)
        .flat_map(|vm| [(vm, 1), (vm, 4), (vm, 7)])
        .collect();
    let version = feeds.version(1);
    feeds.change(put_workspace("w1", 1));
    feeds.restart(4);
    feeds.run(SECOND);
    assert!(!feeds.vms[4].feed.is_ready());
    feeds.run(5 * SECOND);
    assert!(feeds.vms[4].feed.is_ready());
    assert_eq!(feeds.version(4), version);
}

/// Guards against a change whose messages per VM or time to reach all VMs grow with the fleet, at
/// 9, 100 and 1,000 VMs. The figures are printed.
#[rstest]
#[case(9)]
#[case(100)]
#[case(1_000)]
fn a_change_costs_a_vm_the_same_in_any_fleet(#[case] count: usize) {
    let mut feeds = fleet_with_key(count);
    for rate in 3..9 {
        feeds.change(put_workspace("w2", rate));
        feeds.run(2 * SECOND);
    }
    feeds.messages = vec![0; count];
    feeds.bytes = 0;
    let start = feeds.now;
    feeds.change(put_workspace("w1", 2));
    let version = feeds.version(0);
    while (0..count).any(|vm| feeds.version(vm) != version) {
        feeds.run(feeds::STEP);
        assert!(
            feeds.now - start < 60 * SECOND,
            "some VMs lack the change after a minute"
        );
    }
    let took = feeds.now - start;
    let most = feeds.messages.iter().max();
    let mean = feeds.messages.iter().sum::<u64>() as f64 / count as f64;
    let bytes = feeds.bytes / count as u64;
    println!(
        "{count} VMs: {mean:.2} messages and {bytes} bytes a VM, at most {most:?} messages, \
         in force after {took:?}"
    );
    assert!(mean <= 6.0);
    assert!(took <= 9 * SECOND);
}

/// Returns a routing as an operator sends it, with its source text.
fn routing(revision: u64, routes: usize) -> Routing {
    let mut rng = Pcg64Mcg::seed_from_u64(revision);
    let route = |number: usize| GatewayRoute {
        aim_ms: 1_000,
        attempts: 2,
        has_prompts: false,
        homes: ["armor".into(), "argoat".into()].into(),
        host: "ficu95.example".into(),
        kind: CallKind::Idempotent,
        name: format!("r-{number}-{:x}", rng.random::<u32>()).into(),
        pause_ms: 600,
        prefix: format!("/{number}-{:x}/", rng.random::<u32>()).into(),
        public: false,
        rank: 1,
        resumable: false,
        split: vec![SplitPart {
            service: "stock".into(),
            weight: 1,
        }],
        timeout_ms: 4_000,
    };
    let services = vec![GatewayService {
        cold: Default::default(),
        connections: 100,
        engine: None,
        health_path: "/health".into(),
        name: "stock".into(),
    }];
    let routes: Vec<_> = (0..routes).map(route).collect();
    let source = serde_json::to_string(&routes)
        .expect("the routes can be encoded")
        .into();
    Routing {
        revision,
        routes,
        services,
        source,
        workspaces: Vec::new(),
    }
}

/// Guards against callers' requests being served outside the homes of their routes, or by upstreams
/// that are leaving, for half a minute after an operator adds routes.
///
/// All VMs request a copy of the new routing at once. With the operator's text, five times the size
/// of what VMs need to serve, a copy takes a link of 10 Mbit/s longer than the second that a VM
/// waits for an answer. The VM then asks another peer and drops the copy when it comes. Links stay
/// full in both directions while processors are idle, lists of upstreams and confirmations wait
/// behind the copies, and no VM puts the third routing in force for the rest of the day. No VM may
/// serve with a routing that was replaced over four seconds ago, the bound of those deployments.
#[rstest]
#[case(12)]
#[case(93)]
fn large_routings_in_succession_are_in_force_in_time_on_narrow_links(#[case] count: usize) {
    const APPLIED: Duration = Duration::from_secs(4);
    for seed in 0..5 {
        let mut feeds = FeedFleet::new(count, seed);
        feeds.links = vec![Link::new(10.0); count];
        feeds.links[0] = Link::new(1_000.0);
        feeds.run(10 * SECOND);
        for revision in 1..=2 {
            feeds.change(Change::PutRouting {
                regions: Default::default(),
                routing: Box::new(routing(revision, 2_850)),
            });
            feeds.run(Duration::from_millis(1_400));
        }
        feeds.run(APPLIED - Duration::from_millis(1_400));
        let newest = feeds.version(0);
        let late = (0..count).filter(|vm| feeds.version(*vm) < newest);
        assert_eq!(
            late.count(),
            0,
            "seed {seed}: VMs of {count} that lack the newest version"
        );
    }
}

/// Guards against dropping a copy that arrives later than the wait for it: on links that carry less
/// than one copy in that time, no VM would ever get one, and the links would stay full.
#[test]
fn a_copy_that_takes_longer_than_it_is_waited_for_is_taken() {
    let mut feeds = FeedFleet::new(6, 3);
    feeds.links = vec![Link::new(1.0); 6];
    feeds.links[0] = Link::new(1_000.0);
    feeds.run(10 * SECOND);
    feeds.change(Change::PutRouting {
        regions: Default::default(),
        routing: Box::new(routing(1, 8_000)),
    });
    feeds.run(30 * SECOND);
    let newest = feeds.version(0);
    assert!((0..6).all(|vm| feeds.version(vm) == newest));
}

/// Answer of the leader "b" to a question for its version.
fn leader_answer(question: u64, version: u64) -> FeedInput {
    FeedInput::Message {
        from: "b".into(),
        message: FeedMessage::Version {
            leading: true,
            question,
            version,
            withdrawals: Vec::new(),
        },
    }
}

/// A process that starts with this version, and the number of its questions.
fn starting_feed(document: &Document, seed: u64) -> (Feed, u64) {
    let mut feed = Feed::new("a".into(), vec!["b".into()], Duration::ZERO, seed);
    let outputs = feed.step(Duration::ZERO, document, FeedInput::Tick);
    let question = outputs.iter().find_map(|output| match output {
        FeedOutput::Send {
            message: FeedMessage::Ask { question },
            ..
        } => Some(*question),
        _ => None,
    });
    (feed, question.expect("a question"))
}

/// Guards against a VM that serves an older version than before its restart, since the leader's answer to its former process
/// comes late.
#[rstest]
#[case::to_this_process(1, true)]
#[case::to_the_former_process(2, false)]
fn an_answer_to_a_former_process_makes_no_vm_ready(#[case] asked_by: u64, #[case] ready: bool) {
    let document = Document {
        version: 3,
        ..Document::default()
    };
    let (mut feed, _) = starting_feed(&document, 1);
    let (_, question) = starting_feed(&document, asked_by);
    feed.step(
        Duration::from_millis(100),
        &document,
        leader_answer(question, 3),
    );
    assert_eq!(feed.is_ready(), ready);
}

/// Guards against a starting VM that gets no answer to its request for the newest configuration in
/// time, and serves with the early version that it has reached.
#[test]
fn a_vm_that_starts_does_not_serve_before_it_has_what_the_leader_has() {
    let mut document = Document {
        version: 3,
        ..Document::default()
    };
    let (mut feed, question) = starting_feed(&document, 1);
    let leader_answer = |version| leader_answer(question, version);
    feed.step(Duration::ZERO, &document, leader_answer(9));
    for tick in 1..20 {
        feed.step(tick * Feed::TICK_INTERVAL, &document, FeedInput::Tick);
        assert!(!feed.is_ready());
    }
    document.version = 9;
    feed.step(20 * Feed::TICK_INTERVAL, &document, leader_answer(9));
    assert!(feed.is_ready());
}

/// Guards against parts of a copy that arrive later than the wait for them, one after another, and
/// are requested so often that the link stays full.
#[test]
fn parts_that_take_longer_than_they_are_waited_for_are_taken() {
    let mut feeds = FeedFleet::new(4, 3);
    feeds.change(put_workspace("w0", 1));
    for key in 0..4 * Document::PART_ENTRIES {
        feeds.change(give_key(&format!("k{key:04}"), "w0"));
    }
    feeds.run(10 * SECOND);
    feeds.links = vec![Link::new(0.03); 4];
    feeds.restart(2);
    let document = Box::new(feeds.vms[0].catalog.document().clone());
    feeds.change(Change::Apply { document });
    feeds.run(120 * SECOND);
    let newest = feeds.version(0);
    assert!((0..4).all(|vm| feeds.version(vm) == newest));
}
