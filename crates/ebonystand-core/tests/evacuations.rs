//! Tests of requests to start and end evacuations, copies of which may be delivered late.

use {
    ebonystand_core::*,
    rstest::rstest,
    std::{collections::BTreeSet, time::Duration},
};

fn request(id: &str, zone: &str, evacuated: bool, base: Version) -> ChangeRequest {
    ChangeRequest {
        change: Change::SetEvacuated {
            evacuated,
            zone: zone.into(),
        },
        expected_version: Some(base),
        request_id: id.into(),
    }
}

fn is_accepted(outcome: &ChangeOutcome) -> bool {
    matches!(outcome, ChangeOutcome::Accepted { .. })
}

/// A request that its caller gives up on after one VM has read it, and sends to another VM, which acknowledges it.
#[derive(Clone, Copy)]
struct Sent {
    zone: &'static str,
    evacuated: bool,
}

/// When the copy that was given up gets anywhere.
#[derive(Clone, Copy)]
struct LateCopy {
    /// Number of requests acknowledged before the version that the copy is proposed on.
    known: usize,
    /// Number of requests acknowledged before the copy gets to the log.
    delivered: usize,
}

const START_A: Sent = Sent {
    zone: "a",
    evacuated: true,
};
const END_A: Sent = Sent {
    zone: "a",
    evacuated: false,
};
const START_B: Sent = Sent {
    zone: "b",
    evacuated: true,
};
const END_B: Sent = Sent {
    zone: "b",
    evacuated: false,
};

/// Every way in which a copy of the `n`-th of `count` requests can be late. It was read before the caller gave up, and so
/// before its request was acknowledged elsewhere; the VM may know an older version than the leader.
fn late_copies(n: usize, count: usize) -> Vec<LateCopy> {
    let delivered = n..=count;
    let copies = delivered.flat_map(|delivered| {
        let known = 0..=n;
        known.map(move |known| LateCopy { known, delivered })
    });
    copies.collect()
}

/// Evacuated zones after all requests and their late copies, and what the acknowledged requests alone leave.
fn play(requests: &[Sent], copies: &[LateCopy]) -> (BTreeSet<ZoneId>, BTreeSet<ZoneId>) {
    let mut catalog = Catalog::default();
    let mut acknowledged = BTreeSet::new();
    let mut versions = vec![0];
    for position in 0..=requests.len() {
        for (n, copy) in copies.iter().enumerate() {
            if copy.delivered == position {
                let Sent { zone, evacuated } = requests[n];
                let base = versions[copy.known];
                catalog.apply(&request(&format!("late-{n}"), zone, evacuated, base));
            }
        }
        let Some(Sent { zone, evacuated }) = requests.get(position).copied() else {
            break;
        };
        let req = request(&format!("{position}"), zone, evacuated, catalog.version());
        assert!(is_accepted(&catalog.apply(&req)));
        versions.push(catalog.version());
        if evacuated {
            acknowledged.insert(zone.into());
        } else {
            acknowledged.remove(zone);
        }
    }
    (catalog.document().evacuated.clone(), acknowledged)
}

/// Guards against a late copy of a request that undoes a later, acknowledged one, in every order in which the copies of all
/// requests can be delivered.
#[rstest]
#[case::one_zone(&[START_A, END_A, START_A])]
#[case::ended_last(&[START_A, END_A, START_A, END_A])]
#[case::repeated(&[START_A, START_A, END_A, END_A])]
#[case::nothing_to_end(&[END_A, START_A, END_A])]
#[case::two_zones(&[START_A, START_B, END_A, END_B, START_A])]
fn a_late_copy_undoes_no_request_that_was_acknowledged_after_it(#[case] requests: &[Sent]) {
    let choices = (0..requests.len()).map(|n| late_copies(n, requests.len()));
    let choices = choices.collect::<Vec<_>>();
    let plays = choices.iter().map(Vec::len).product::<usize>();
    for play_number in 0..plays {
        let mut rest = play_number;
        let copies = choices.iter().map(|choices| {
            let copy = choices[rest % choices.len()];
            rest /= choices.len();
            copy
        });
        let copies = copies.collect::<Vec<_>>();
        let (evacuated, acknowledged) = play(requests, &copies);
        let copies = copies.iter().map(|copy| (copy.known, copy.delivered));
        assert_eq!(evacuated, acknowledged, "{:?}", copies.collect::<Vec<_>>());
    }
}

/// Guards against an acknowledged request that changes nothing and is taken for none, so that an older copy gets past it.
#[test]
fn a_request_that_changes_nothing_makes_older_copies_a_conflict() {
    let mut catalog = Catalog::default();
    let base = catalog.version();
    assert!(is_accepted(
        &catalog.apply(&request("end", "a", false, base))
    ));
    let late = catalog.apply(&request("start", "a", true, base));
    assert_eq!(late, ChangeOutcome::Conflict { version: 1 });
    assert!(catalog.document().evacuated.is_empty());
}

/// Guards against requests that fail because of changes of other zones or of the routing.
#[test]
fn other_changes_do_not_make_a_request_a_conflict() {
    let mut catalog = Catalog::default();
    let base = catalog.version();
    let switch = ChangeRequest {
        change: Change::SwitchPreset {
            name: PresetName::Peak,
        },
        expected_version: Some(base),
        request_id: "switch".into(),
    };
    assert!(is_accepted(&catalog.apply(&switch)));
    assert!(is_accepted(&catalog.apply(&request("b", "b", true, 1))));
    assert!(is_accepted(&catalog.apply(&request("a", "a", true, base))));
    assert_eq!(catalog.document().evacuated.len(), 2);
}

/// Guards against late copies that are accepted for a zone whose last change has been forgotten.
#[test]
fn a_zone_that_is_no_longer_remembered_accepts_no_late_copy() {
    let mut catalog = Catalog::default();
    for n in 0..=EvacuationVersions::MAX_ZONES {
        let version = catalog.version();
        let zone = format!("zone-{n}");
        assert!(is_accepted(
            &catalog.apply(&request(&zone, &zone, true, version))
        ));
    }
    let late = catalog.apply(&request("late", "zone-0", false, 0));
    assert!(!is_accepted(&late), "{late:?}");
    let version = catalog.version();
    assert!(is_accepted(
        &catalog.apply(&request("new", "zone-0", false, version))
    ));
}

/// Guards against a member that restarts from a snapshot and accepts what the others refuse, and against one that cannot
/// read a snapshot of the build before.
#[test]
fn a_snapshot_keeps_which_requests_are_outdated() {
    let mut machine = StateMachine::default();
    let apply = |machine: &mut StateMachine, id: &str, evacuated, base| {
        machine.apply(&Command::Change(request(id, "a", evacuated, base)))
    };
    apply(&mut machine, "start", true, 0);
    let snapshot = machine.encode().expect("a snapshot");
    let mut restarted = StateMachine::decode(&snapshot).expect("the state");
    assert_eq!(restarted, machine);
    let late = apply(&mut restarted, "late", false, 0);
    assert_eq!(late, apply(&mut machine, "late", false, 0));
    assert_eq!(
        late,
        CommandOutcome::Change(ChangeOutcome::Conflict { version: 1 })
    );
    let older = postcard::to_stdvec(&(machine.catalog(), machine.orders())).expect("a snapshot");
    let older = StateMachine::decode(&older).expect("the state");
    assert_eq!(older.catalog().document(), machine.catalog().document());
}

/// Guards against requests that are proposed although their callers have turned to another VM.
#[rstest]
#[case::waits(150, true, Ok(7))]
#[case::waits_long(499, true, Ok(7))]
#[case::may_have_waited_before(500, true, Err(EvacuationError::Expired { age: Duration::from_millis(500) }))]
#[case::left(150, false, Err(EvacuationError::CallerLeft))]
#[case::not_seen_to_leave(4_000, true, Err(EvacuationError::Expired { age: Duration::from_secs(4) }))]
fn a_request_is_proposed_only_while_its_caller_waits(
    #[case] waited_ms: u64,
    #[case] is_connected: bool,
    #[case] expected: Result<Version, EvacuationError>,
) {
    let read_at = Duration::from_secs(100);
    let pending = PendingEvacuation::new(read_at, 7, false).expect("a request");
    let now = read_at + Duration::from_millis(waited_ms);
    assert_eq!(pending.base_version(now, is_connected), expected);
}

/// Guards against requests that are taken for new by a VM that stood still while they waited.
#[test]
fn a_request_that_may_have_waited_is_refused() {
    let pending = PendingEvacuation::new(Duration::from_secs(100), 7, true);
    assert_eq!(pending.err(), Some(EvacuationError::AfterStall));
}

/// Guards against a request that never gets past a conflict although its caller waits.
#[test]
fn a_request_whose_caller_still_waits_is_based_on_what_the_conflict_reports() {
    let mut catalog = Catalog::default();
    let mut pending =
        PendingEvacuation::new(Duration::ZERO, catalog.version(), false).expect("a request");
    assert!(is_accepted(&catalog.apply(&request("1", "a", true, 0))));
    for id in ["2", "3"] {
        let base = pending.base_version(Duration::from_millis(150), true);
        match catalog.apply(&request(id, "a", false, base.expect("a version"))) {
            ChangeOutcome::Conflict { version } => pending.record_conflict(version),
            outcome => assert_eq!((id, outcome), ("3", ChangeOutcome::Accepted { version: 2 })),
        }
    }
    assert!(catalog.document().evacuated.is_empty());
}
