//! Tests of the gossip protocol by which VMs track which of them are live.

#[path = "common/vms.rs"]
mod vms;

use {
    ebonystand_core::{MembershipBody, MembershipMessage, VmEntry, VmHint, VmMembership, VmState},
    rstest::rstest,
    std::time::Duration,
    vms::{VmFleet, address, is_alive, name, record},
};

const SECOND: Duration = Duration::from_secs(1);

/// Starts a fleet and runs it until every VM sees all VMs as live.
fn settled(count: usize, regions: usize) -> VmFleet {
    let mut vms = VmFleet::new(count, regions);
    let all = |vms: &VmFleet| (0..count).all(|vm| vms.live(vm) == count);
    let took = vms.run_until(60 * SECOND, all);
    assert!(
        took.is_some(),
        "not every VM sees all VMs as live after a minute"
    );
    vms
}

/// Guards against traffic per VM that grows with the fleet, and against changes that take longer
/// than 9 s to reach every VM, at 9 VMs as at 2,200. The figures are printed.
#[rstest]
#[case(9, 3)]
#[case(100, 5)]
#[case(300, 10)]
fn cost_is_flat_and_news_arrive_in_time(#[case] count: usize, #[case] regions: usize) {
    let mut vms = settled(count, regions);
    vms.run(30 * SECOND);
    vms.reset();
    vms.run(10 * SECOND);
    let quiet = vms.bytes_each(10 * SECOND);

    let outputs = vms.vms[1].leave(vms.now);
    vms.send(1, outputs);
    let left = vms.run_until(30 * SECOND, |vms| {
        vms.count(1, |_, entry| entry.is_leaving()) == count - 1
    });
    let left = left.expect("every VM learns that VM 1 leaves");

    vms.stopped.insert(2);
    vms.reset();
    let dropped = vms.run_until(30 * SECOND, |vms| vms.count(2, is_alive) == 0);
    let dropped = dropped.expect("every VM learns that VM 2 does not answer");
    let busy = vms.bytes_each(dropped);
    println!("{count} VMs: {quiet} and {busy} B/s, known after {left:?} and {dropped:?}");
    assert!(quiet.max(busy) <= 10_000);
    assert!(left.max(dropped) <= 9 * SECOND);
}

/// Guards against a VM that answers being declared dead because some datagrams are lost.
#[rstest]
fn lost_datagrams_kill_nobody(#[values(5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15)] loss_one_in: u64) {
    let mut vms = settled(100, 5);
    vms.loss_one_in = loss_one_in;
    for _ in 0..300 {
        vms.run(Duration::from_millis(200));
        assert!((0..100).all(|vm| vms.count(vm, is_not_dead) == 99));
    }
}

/// Region 1 is partitioned from the other regions. Callers must be sent only to VMs on their own
/// side, no VM may be forgotten or declared dead, and the live list must be complete within seconds
/// after the partition heals.
#[test]
fn a_cut_region_is_unreachable_and_not_dead() {
    let mut vms = settled(9, 3);
    vms.cut_links = [(0, 1), (1, 0), (1, 2), (2, 1)].into();
    vms.run(60 * SECOND);
    assert_eq!((vms.live(0), vms.live(1)), (6, 3));
    assert_eq!(vms.count(1, is_alive), 8);
    assert_eq!(vms.vms[0].entries().count(), 9);
    vms.cut_links.clear();
    let healed = vms.run_until(30 * SECOND, |vms| (0..9).all(|vm| vms.live(vm) == 9));
    assert!(healed.is_some_and(|took| took <= 5 * SECOND), "{healed:?}");
}

/// Datagrams from region 0 to region 1 are lost, while those in the other direction arrive. A
/// request across would get no answer, so each side must treat the other as unreachable.
#[test]
fn a_region_cut_one_way_is_unreachable_from_both_sides() {
    let mut vms = settled(9, 3);
    vms.cut_links = [(0, 1)].into();
    vms.run(30 * SECOND);
    assert_eq!((vms.live(0), vms.live(1), vms.live(2)), (6, 6, 9));
}

fn is_not_dead(_: &VmMembership, entry: &VmEntry) -> bool {
    !matches!(entry.state, VmState::Dead { .. })
}

/// Checks for ten seconds that no VM declares a VM other than `but` dead.
fn others_stay_alive(vms: &mut VmFleet, but: usize) {
    for _ in 0..100 {
        vms.run(Duration::from_millis(100));
        let others = (0..vms.vms.len()).filter(|vm| *vm != but);
        assert!(others.clone().all(|vm| vms.count(vm, is_not_dead) == 8));
    }
}

/// A VM is suspended for a minute and then resumed. It must not declare the other VMs dead, and
/// they must see it as alive again.
#[test]
fn a_vm_that_stood_still_declares_nobody_dead() {
    let mut vms = settled(9, 1);
    vms.stopped.insert(3);
    vms.run(60 * SECOND);
    assert_eq!(vms.count(3, is_alive), 0);
    vms.stopped.clear();
    others_stay_alive(&mut vms, 3);
    assert_eq!(vms.count(3, is_alive), 8);
}

/// A VM loses its network and receives nothing. It must not declare the other VMs dead, since it
/// would spread that once the network is back; until then only it is in its live list.
#[test]
fn a_vm_that_hears_nobody_declares_nobody_dead() {
    let mut vms = settled(9, 1);
    vms.isolated.insert(3);
    vms.run(30 * SECOND);
    assert_eq!(vms.live(3), 1);
    vms.isolated.clear();
    others_stay_alive(&mut vms, 3);
    assert_eq!(vms.count(3, is_alive), 8);
}

/// A VM restarts under a new incarnation while datagrams of the old one are still in flight. The
/// old record must not replace the new one, or callers are sent to a wrong address.
#[rstest]
#[case::older_incarnation(-1, 9, 0)]
#[case::older_heartbeat(0, 0, 0)]
#[case::newer_heartbeat(0, 2, 1)]
#[case::newer_incarnation(1, 0, 1)]
fn only_a_newer_record_counts(
    #[case] incarnation: i64,
    #[case] heartbeat: u64,
    #[case] taken: u64,
) {
    let mut vms = VmFleet::new(2, 1);
    let mut known = record(5, 1);
    known.heartbeat = 1;
    let mut other = known.clone();
    other.heartbeat = heartbeat;
    other.incarnation = known.incarnation.wrapping_add_signed(incarnation);
    other.leaving = true;
    for from in [known, other] {
        let message = MembershipMessage {
            body: MembershipBody::Gossip,
            contacts: Vec::new(),
            from,
            updates: Vec::new(),
            withdrawals: 0,
        };
        vms.vms[0].receive(vms.now, message);
    }
    let entry = vms.vms[0].get(&name(5)).expect("VM 5 is known");
    assert_eq!(u64::from(entry.record.leaving), taken);
}

/// The platform's list lags. A VM that it shows as leaving gets no new work, and an unknown one is
/// contacted, but the list alone must neither add nor remove a VM.
#[test]
fn the_platforms_list_is_a_hint() {
    let mut vms = settled(3, 1);
    let hint = |vm, leaving| VmHint {
        leaving,
        peer: address(vm),
        vm: name(vm),
    };
    vms.vms[0].apply_hints(&[hint(1, true), hint(7, false)]);
    let leaving: Vec<_> = vms.vms[0]
        .live(vms.now)
        .filter(|vm| vm.is_leaving())
        .collect();
    assert_eq!(leaving.len(), 1);
    assert_eq!(leaving[0].record.vm, name(1));
    assert_eq!(vms.vms[0].get(&name(7)), None);
    assert_eq!(vms.live(0), 3);
}

/// A dead VM is forgotten after an hour, and not before: its record prevents an older one that is
/// still in flight from reviving it.
#[test]
fn a_dead_vm_is_forgotten_after_an_hour() {
    let mut vms = settled(3, 1);
    vms.stopped.insert(2);
    vms.run(3_000 * SECOND);
    assert_eq!(vms.vms[0].entries().count(), 3);
    vms.run(700 * SECOND);
    assert_eq!(vms.vms[0].entries().count(), 2);
}
