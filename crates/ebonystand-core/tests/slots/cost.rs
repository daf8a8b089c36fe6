//! What scheduling costs a VM in the largest deployment planned: 2,200 VMs, the largest region with 150 of
//! them before 380 engines of eight slots, 43,000 requests a second over 15 regions.

use super::*;

const VMS: usize = 150;
const ENGINES: usize = 380;
const SLOTS: u32 = 8;

fn plan(vms: usize, engines: usize) -> SlotPlan {
    let engines = (0..engines).map(|engine| SlotEngine {
        key: key(engine),
        service: format!("model-{}", engine % 10).into(),
        slots: SLOTS,
    });
    SlotPlan::new(&region_vms(vms), &engines.collect::<Vec<_>>())
}

#[test]
fn groups_of_the_largest_region_are_spread_evenly() {
    let plan = plan(VMS, ENGINES);
    let mut slots = BTreeMap::<&SlotGroup, u32>::new();
    for engine in 0..ENGINES {
        *slots
            .entry(plan.group(key(engine)).expect("a group"))
            .or_default() += SLOTS;
    }
    assert!(
        slots
            .values()
            .all(|slots| *slots <= SlotPlan::GROUP_SLOTS + SLOTS)
    );
    let mut groups = BTreeMap::<&VmId, usize>::new();
    for (_, vm) in plan.schedulers() {
        *groups.entry(vm).or_default() += 1;
    }
    println!("{} groups at {} VMs", slots.len(), groups.len());
    assert_eq!(groups.values().max(), Some(&1));
    // The region's share of 43,000 requests a second, all asked for, four messages each.
    let requests = 43_000.0 * VMS as f64 / 2_200.0;
    let of_asker = requests / VMS as f64 * 4.0;
    let of_scheduler = requests / slots.len() as f64 * 4.0;
    println!("messages a second: {of_asker:.0} a VM, {of_scheduler:.0} more at a scheduler");
    assert!(of_asker + of_scheduler <= 600.0);
}

#[test]
fn a_vm_that_goes_moves_few_groups_and_an_engine_few_engines() {
    let (all, fewer) = (plan(VMS, ENGINES), plan(VMS - 1, ENGINES));
    let moved = all
        .schedulers()
        .filter(|(group, vm)| fewer.scheduler(group) != Some(vm));
    assert!(moved.count() <= 8);
    let fewer = plan(VMS, ENGINES - 1);
    let moved =
        (0..ENGINES - 1).filter(|engine| all.group(key(*engine)) != fewer.group(key(*engine)));
    assert!(moved.count() <= ENGINES / 10);
}

#[test]
fn messages_are_short() {
    let engines = (0..4).map(|engine| SlotOffer {
        engine: key(engine),
        unread: 4_000,
    });
    let request = SlotRequest {
        begin_ms: 300,
        engines: engines.collect(),
        hold_ms: 2_000,
        rank: 1,
        start_ms: 175,
        workspace: "workspace".into(),
    };
    let number = u32::MAX;
    let len = |message: &SlotMessage| postcard::to_stdvec(message).expect("a message").len();
    assert!(len(&SlotMessage::Request { number, request }) <= 60);
    assert!(
        len(&SlotMessage::Grant {
            engine: key(1),
            number
        }) <= 20
    );
    assert!(len(&SlotMessage::End { number }) <= 20);
}
