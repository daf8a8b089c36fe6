//! Origins of streams: which VMs hold them, for how long, and what answers tell.

// A failed `unwrap` is how a test's helpers report that the test cannot go on.
#![allow(clippy::unwrap_used)]

use {
    ebonystand_core::{
        InquiryState, KnownOrigin, OriginAnswer, OriginHolders, OriginInquiry, OriginTable,
        StreamKey, StreamOrigin, VmCapacity, VmId, VmRecord,
    },
    rstest::rstest,
    std::{collections::BTreeSet, time::Duration},
};

const SECOND: Duration = Duration::from_secs(1);
const STREAMS: usize = 500;

fn key(n: usize) -> StreamKey {
    StreamKey::new(Some("w"), &format!("attempt-{n}"))
}

fn origin(software: &str) -> StreamOrigin {
    StreamOrigin {
        service: "s".into(),
        software: software.into(),
    }
}

fn record(n: usize, regions: usize) -> VmRecord {
    let address = ([10, 0, 0, 1], 1).into();
    VmRecord {
        capacity: VmCapacity::REFERENCE,
        capacity_halvings: 0,
        forwards: Some(address),
        heartbeat: 0,
        holds_log: false,
        http: address,
        incarnation: 1,
        leaving: false,
        peer: address,
        region: format!("r{}", n % regions).into(),
        takes_callers: true,
        version: 1,
        vm: format!("vm{n}").into(),
        zone: format!("r{}-a", n % regions).into(),
    }
}

/// The fleet as one of its VMs sees it.
fn holders(vms: &[VmRecord], own: usize) -> OriginHolders {
    let own = vms.iter().find(|vm| *vm.vm == *format!("vm{own}")).unwrap();
    OriginHolders::new(own.vm.clone(), own.region.clone(), vms)
}

fn fleet(vms: usize, regions: usize) -> Vec<VmRecord> {
    (0..vms).map(|n| record(n, regions)).collect()
}

/// Guards against records whose number grows with the fleet.
#[rstest]
#[case::small(9, 3)]
#[case::middle(100, 3)]
#[case::large(1_000, 15)]
fn origins_cost_the_same_in_a_large_fleet(#[case] vms: usize, #[case] regions: usize) {
    let fleet = fleet(vms, regions);
    let mut told = vec![0_usize; vms];
    for n in 0..STREAMS {
        let to_tell = holders(&fleet, n % vms).to_tell(key(n));
        assert_eq!(to_tell.len(), 4);
        for vm in to_tell {
            told[vm[2..].parse::<usize>().unwrap()] += 1;
        }
        assert!(holders(&fleet, (n + 1) % vms).to_ask(key(n)).len() <= 9);
    }
    let mean = (4 * STREAMS).div_ceil(vms);
    let most = told.into_iter().max().unwrap();
    assert!(most <= 3 * mean + 8, "{most} of {mean}");
}

/// Guards against a VM that can't find out where a stream began because the one that began it is gone.
#[rstest]
#[case::of_the_same_region(3)]
#[case::of_another_region(1)]
fn each_vm_finds_a_holder_once_the_one_that_began_is_gone(#[case] asks: usize) {
    let before = fleet(9, 3);
    for dies_unnoticed in [false, true] {
        for n in 0..STREAMS {
            let told = holders(&before, 0).to_tell(key(n));
            let mut after = before.clone();
            if !dies_unnoticed {
                after.remove(0);
            }
            let asked = holders(&after, asks).to_ask(key(n));
            let own = VmId::from(format!("vm{asks}"));
            let found = told.iter().any(|vm| asked.contains(vm) || *vm == own);
            assert!(found, "{told:?} told, {asked:?} asked");
        }
    }
}

/// Guards against holders of one region only, which go down together.
#[test]
fn holders_are_in_other_regions_too() {
    let fleet = fleet(9, 3);
    for n in 0..STREAMS {
        let told = holders(&fleet, 0).to_tell(key(n));
        let regions = told.iter().map(|vm| vm[2..].parse::<usize>().unwrap() % 3);
        assert_eq!(regions.collect::<BTreeSet<_>>().len(), 3);
        let mut after = fleet.clone();
        after.retain(|vm| *vm.region != *"r0");
        let asked = holders(&after, 1).to_ask(key(n));
        let own = VmId::from("vm1");
        assert!(told.iter().any(|vm| asked.contains(vm) || *vm == own));
    }
}

/// Guards against records that a VM about to stop takes along.
#[test]
fn vms_that_leave_hold_nothing_new() {
    let mut fleet = fleet(9, 3);
    fleet[3].leaving = true;
    for n in 0..STREAMS {
        assert!(!holders(&fleet, 0).to_tell(key(n)).contains(&"vm3".into()));
    }
}

/// Guards against a record that comes to VMs which have handed over what they held, and ends with them.
#[rstest]
#[case::passed_on(true)]
#[case::kept(false)]
fn a_record_that_comes_to_vms_that_leave_outlives_them(#[case] passes_on: bool) {
    let before = fleet(5, 1);
    let mut after = before.clone();
    (after[1].leaving, after[2].leaving) = (true, true);
    let mut left = after.clone();
    left.drain(..3);
    let mut found = 0;
    for n in 0..STREAMS {
        // The VM that began the stream does not know yet that others leave, and ends unexpectedly.
        let mut tables = vec![OriginTable::default(); 5];
        let index = |vm: &VmId| vm[2..].parse::<usize>().unwrap();
        for vm in holders(&before, 0).to_tell(key(n)) {
            let vm = index(&vm);
            let is_new = tables[vm].hold(SECOND, key(n), origin("v1"), SECOND);
            if is_new && passes_on && after[vm].leaving {
                for vm in holders(&after, vm).to_tell(key(n)) {
                    tables[index(&vm)].hold(SECOND, key(n), origin("v1"), SECOND);
                }
            }
        }
        let mut asked = holders(&left, 3).to_ask(key(n));
        asked.push("vm3".into());
        let held = |vm: &VmId| tables[index(vm)].get(SECOND, key(n)).is_some();
        found += usize::from(asked.iter().any(held));
    }
    assert_eq!(found == STREAMS, passes_on, "{found}");
}

#[test]
fn an_origin_is_held_until_its_time_is_over() {
    let mut table = OriginTable::default();
    table.hold(SECOND, key(1), origin("v1"), 5 * SECOND);
    table.hold(2 * SECOND, key(2), origin("v2"), SECOND);
    assert_eq!(table.get(5 * SECOND, key(1)), Some(&origin("v1")));
    assert_eq!(table.get(4 * SECOND, key(2)), None);
    assert_eq!(table.get(7 * SECOND, key(1)), None);
    table.remove_expired(8 * SECOND);
    assert!(table.is_empty());
}

/// Guards against a record that a later attempt at the same stream replaces.
#[test]
fn the_first_origin_of_a_stream_stays() {
    let mut table = OriginTable::default();
    assert!(table.hold(SECOND, key(1), origin("v1"), SECOND));
    assert!(!table.hold(SECOND, key(1), origin("v2"), 9 * SECOND));
    assert_eq!(table.get(8 * SECOND, key(1)), Some(&origin("v1")));
}

#[test]
fn the_number_of_origins_is_bounded() {
    let mut table = OriginTable::default();
    for n in 0..40_000 {
        table.hold(SECOND, key(n), origin("v1"), 30 * SECOND);
    }
    assert!(table.len() <= 32_768);
    assert!(table.get(SECOND, key(39_999)).is_some());
}

#[test]
fn workspaces_do_not_share_streams() {
    let of = |workspace| StreamKey::new(workspace, "attempt");
    assert_ne!(of(Some("a")), of(Some("b")));
    assert_ne!(of(Some("a")), of(None));
}

/// Guards against an answer without a record that hides the record of another VM.
#[rstest]
#[case::record_last(&[OriginAnswer::Unknown, OriginAnswer::OnlyVersion(origin("v1")), OriginAnswer::Recorded(origin("v2"))], Some(KnownOrigin::Recorded(origin("v2"))))]
#[case::only_version(&[OriginAnswer::Unknown, OriginAnswer::OnlyVersion(origin("v1")), OriginAnswer::Unknown], Some(KnownOrigin::OnlyVersion(origin("v1"))))]
#[case::unknown(&[OriginAnswer::Unknown, OriginAnswer::Unknown, OriginAnswer::Unknown], None)]
#[case::contradiction(&[OriginAnswer::OnlyVersion(origin("v1")), OriginAnswer::OnlyVersion(origin("v2")), OriginAnswer::Unknown], None)]
#[case::contradiction_first(&[OriginAnswer::OnlyVersion(origin("v1")), OriginAnswer::OnlyVersion(origin("v2")), OriginAnswer::OnlyVersion(origin("v2"))], None)]
fn answers_are_weighed(#[case] answers: &[OriginAnswer], #[case] known: Option<KnownOrigin>) {
    let vms = ["a", "b", "c"].map(VmId::from);
    let mut inquiry = OriginInquiry::new(vms.to_vec(), None);
    let mut state = InquiryState::Open;
    for (vm, answer) in vms.iter().zip(answers) {
        assert_eq!(state, InquiryState::Open);
        state = inquiry.receive(vm, answer.clone());
    }
    assert_eq!(state, InquiryState::Complete(known));
}
