//! Tests of the configuration's state machine.

use {
    ebonystand_core::*,
    proptest::prelude::*,
    rstest::rstest,
    std::collections::{BTreeMap, BTreeSet},
};

/// Returns a request that puts a preset in force.
fn switch_preset(id: &str, expected: Version, name: PresetName) -> ChangeRequest {
    ChangeRequest {
        change: Change::SwitchPreset { name },
        expected_version: Some(expected),
        request_id: id.into(),
    }
}

/// Two operators send a change with the same expected version. The first one in the log wins; the
/// second one must get the winner's version, or it would overwrite a change that its operator has
/// not seen.
#[test]
fn of_two_changes_under_an_equal_version_one_wins() {
    let mut catalog = Catalog::default();
    assert_eq!(
        catalog.apply(&switch_preset("a", 0, PresetName::Peak)),
        ChangeOutcome::Accepted { version: 1 }
    );
    assert_eq!(
        catalog.apply(&switch_preset("b", 0, PresetName::Maintenance)),
        ChangeOutcome::Conflict { version: 1 }
    );
    assert_eq!(catalog.document().preset, PresetName::Peak);
}

/// The answer to an operator is lost, and the change is sent again after another one has been
/// applied. The resend must get the first outcome and change nothing.
#[test]
fn a_resend_gets_the_first_outcome() {
    let mut catalog = Catalog::default();
    catalog.apply(&switch_preset("a", 0, PresetName::Peak));
    catalog.apply(&switch_preset("b", 1, PresetName::Maintenance));
    assert_eq!(
        catalog.apply(&switch_preset("a", 0, PresetName::Peak)),
        ChangeOutcome::Accepted { version: 1 }
    );
    assert_eq!(catalog.document().preset, PresetName::Maintenance);
}

fn workspace(home: &str, rate: u64) -> Workspace {
    Workspace {
        burst: 1,
        home: home.into(),
        rate,
        residency: ["r0".into()].into(),
    }
}

fn key(secret: &str, workspace: &str) -> Key {
    Key {
        hash: KeyHash::from_secret(secret),
        withdrawn: false,
        workspace: workspace.into(),
    }
}

/// Returns a small document without faults.
fn document() -> Document {
    Document {
        keys: [("k".into(), key("s", "w"))].into(),
        regions: [("r0".into(), Region::default())].into(),
        services: [("s".into(), Service::default())].into(),
        upstreams: [("u".into(), upstream("r0", "s", 1))].into(),
        workspaces: [("w".into(), workspace("r0", 1))].into(),
        ..Document::default()
    }
}

fn upstream(region: &str, service: &str, speed: u64) -> Upstream {
    Upstream {
        address: ([127, 0, 0, 1], 80).into(),
        cost: 0,
        enforces_fencing: false,
        kind: UpstreamKind::Service {
            service: service.into(),
        },
        leaving: false,
        region: region.into(),
        speed,
        zone: "z".into(),
    }
}

/// Applies a change at the catalog's current version.
fn send_change(catalog: &mut Catalog, change: Change) -> ChangeOutcome {
    let version = catalog.version();
    let request_id = format!("{version}-{change:?}").into();
    catalog.apply(&ChangeRequest {
        change,
        expected_version: Some(version),
        request_id,
    })
}

/// Returns a catalog in which [`document`] is in force.
fn catalog_with_document() -> Catalog {
    let mut catalog = Catalog::default();
    let document = Box::new(document());
    let outcome = send_change(&mut catalog, Change::Apply { document });
    assert_eq!(outcome, ChangeOutcome::Accepted { version: 1 });
    catalog
}

/// A key is withdrawn, and then an operator applies the file that added it. It must stay withdrawn.
#[test]
fn an_old_document_brings_no_key_back() {
    let mut catalog = catalog_with_document();
    send_change(&mut catalog, Change::WithdrawKey { id: "k".into() });
    let document = Box::new(document());
    send_change(&mut catalog, Change::Apply { document });
    assert_eq!(catalog.version(), 3);
    assert!(catalog.document().keys["k"].withdrawn);
}

/// Each faulty change must be refused with the path of its fault, and the old document must stay in
/// force.
#[rstest]
#[case::key_in_no_workspace(Change::GiveKey { id: "n".into(), key: key("s", "x") }, "keys.n.workspace")]
#[case::key_given_again(Change::GiveKey { id: "k".into(), key: key("t", "w") }, "keys.k")]
#[case::absent_upstream(Change::RemoveUpstream { id: "x".into() }, "upstreams.x")]
#[case::absent_key(Change::WithdrawKey { id: "x".into() }, "keys.x")]
#[case::absent_workspace(Change::RemoveWorkspace { id: "x".into() }, "workspaces.x")]
#[case::upstream_in_no_region(Change::PutUpstream { id: "u".into(), upstream: upstream("x", "s", 1) }, "upstreams.u.region")]
#[case::upstream_of_no_service(Change::PutUpstream { id: "u".into(), upstream: upstream("r0", "x", 1) }, "upstreams.u.kind.service.service")]
#[case::upstream_without_speed(Change::PutUpstream { id: "u".into(), upstream: upstream("r0", "s", 0) }, "upstreams.u.speed")]
#[case::workspace_without_rate(Change::PutWorkspace { id: "w".into(), workspace: workspace("r0", 0) }, "workspaces.w")]
#[case::workspace_at_home_abroad(Change::PutWorkspace { id: "w".into(), workspace: workspace("x", 1) }, "workspaces.w.home")]
#[case::preset_without_deadline(Change::SetPreset { name: PresetName::Peak, preset: Preset { deadline_ms: 0, ..Preset::default() } }, "presets.peak.deadline_ms")]
#[case::key_with_another_secret(
    Change::Apply { document: Box::new(Document { keys: [("k".into(), key("t", "w"))].into(), ..document() }) },
    "keys.k"
)]
fn a_faulty_change_changes_nothing(#[case] change: Change, #[case] path: &str) {
    let mut catalog = catalog_with_document();
    let ChangeOutcome::Refused { faults } = send_change(&mut catalog, change) else {
        panic!("the faulty change was accepted");
    };
    assert!(
        faults
            .iter()
            .any(|fault| fault.to_string().starts_with(path)),
        "{faults:?}"
    );
    assert_eq!(
        catalog.document(),
        &Document {
            version: 1,
            ..document()
        }
    );
}

/// A document with several faults must be refused with all of them.
#[test]
fn every_fault_of_a_document_is_named() {
    let mut bad = document();
    bad.upstreams.insert("u".into(), upstream("x", "y", 0));
    bad.workspaces.insert("w".into(), workspace("x", 0));
    assert_eq!(bad.faults().len(), 5);
}

/// Returns a strategy for changes, of which some are faulty.
fn any_change() -> impl Strategy<Value = Change> {
    let id = || prop_oneof![Just("a"), Just("b"), Just("r0")].prop_map(Box::<str>::from);
    prop_oneof![
        (id(), id()).prop_map(|(id, workspace)| Change::GiveKey {
            id,
            key: key("s", &workspace)
        }),
        (id(), 0..2u64).prop_map(|(home, rate)| Change::PutWorkspace {
            id: "a".into(),
            workspace: workspace(&home, rate)
        }),
        (id(), id(), 0..2u64).prop_map(|(id, region, speed)| Change::PutUpstream {
            id,
            upstream: upstream(&region, "s", speed)
        }),
        (id(), id(), 0..2u64).prop_map(|(id, to, megabits)| Change::PutRegion {
            id,
            region: Region {
                holders: Vec::new(),
                links: [(
                    to,
                    Link {
                        delay_ms: 1,
                        megabits
                    }
                )]
                .into()
            }
        }),
        id().prop_map(|id| Change::RemoveWorkspace { id }),
        id().prop_map(|id| Change::RemoveUpstream { id }),
        id().prop_map(|id| Change::WithdrawKey { id }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Operators send requests and resend them, in any order. Each request must be applied once:
    /// all its sends get one outcome, and no two requests make the same version.
    #[test]
    fn each_request_counts_once(
        sends in proptest::collection::vec((0..20_usize, 0..4_u64), 1..200),
    ) {
        let mut catalog = Catalog::default();
        let mut first = BTreeMap::new();
        for (number, guess) in sends {
            let known = catalog.version();
            let (expected, outcome_before) = first
                .get(&number)
                .cloned()
                .unwrap_or((known.saturating_sub(guess), None));
            let outcome = catalog.apply(&switch_preset(&number.to_string(), expected, PresetName::Peak));
            prop_assert!(outcome_before.is_none_or(|before| before == outcome));
            first.insert(number, (expected, Some(outcome)));
        }
        let made: Vec<_> = first
            .values()
            .filter_map(|(_, outcome)| match outcome {
                Some(ChangeOutcome::Accepted { version }) => Some(*version),
                _ => None,
            })
            .collect();
        let distinct: BTreeSet<_> = made.iter().copied().collect();
        prop_assert_eq!(distinct.len(), made.len());
        prop_assert_eq!(catalog.version(), made.len() as u64);
    }

    /// A change is checked against the entries that it touches only. The result must equal that of
    /// checking the whole document after the change.
    #[test]
    fn checking_a_change_equals_checking_the_document(
        changes in proptest::collection::vec(any_change(), 1..40),
    ) {
        let mut catalog = catalog_with_document();
        for change in changes {
            let mut whole = catalog.document().clone();
            let names_absent = whole.faults_after(&change).iter().any(|fault| {
                matches!(fault, DocumentFault::Absent { .. } | DocumentFault::KeyExists { .. })
            });
            whole.apply(&AcceptedChange { change: change.clone(), version: whole.version + 1 });
            let accepted = matches!(send_change(&mut catalog, change), ChangeOutcome::Accepted { .. });
            prop_assert_eq!(accepted, whole.faults().is_empty() && !names_absent);
            prop_assert!(catalog.document().faults().is_empty());
        }
    }
}
