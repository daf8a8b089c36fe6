//! One failure a test, at 1.2 times as much work as the slots do.

use {
    super::*,
    region::{End, Region},
};

fn play(fault: Fault) {
    let sound = Region::play(Play::new(Way::Scheduled, 1.2));
    let report = Region::play(Play {
        fault,
        ..Play::new(Way::Scheduled, 1.2)
    });
    let (served, sound) = (report.share(|_| true), sound.share(|_| true));
    println!(
        "in time {served:.3}, without the failure {sound:.3}; late {}, refused {}, lost {}, over {:.3}, idle {:.3}, left {}",
        report.count(End::Late),
        report.count(End::Refused),
        report.count(End::Lost),
        report.over,
        report.idle,
        report.left,
    );
    assert!(served >= 0.9 * sound, "{served} instead of {sound}");
    let late = report.count(End::Late) as f64 / report.callers.len() as f64;
    assert!(late <= 0.02, "late: {late}");
    assert_eq!(report.left, 0, "grants or requests are left behind");
}

fn scheduler() -> usize {
    let plan = SlotPlan::new(&region_vms(region::VMS), &engines(region::ENGINES));
    let (_, vm) = plan.schedulers().next().expect("a scheduler");
    vm.strip_prefix("vm-")
        .and_then(|vm| vm.parse().ok())
        .expect("a VM")
}

/// Guards against callers who wait for the answer of a scheduler that is gone.
#[test]
fn a_scheduler_is_killed() {
    play(Fault::Killed {
        vm: scheduler(),
        at: 2_000,
    });
}

/// Guards against callers who wait for a scheduler that hangs, and grants that it hands out afterwards.
#[test]
fn a_scheduler_hangs_for_a_second() {
    play(Fault::Frozen {
        vm: scheduler(),
        from: 2_000,
        to: 3_000,
    });
}

/// Guards against a scheduler without memory that grants slots which former grants still use.
#[test]
fn a_scheduler_starts_anew() {
    play(Fault::Restarted {
        vm: scheduler(),
        at: 2_000,
    });
}

/// Guards against two VMs that each hand out all slots of an engine, because VMs see different schedulers.
#[test]
fn two_vms_schedule_the_same_engines() {
    play(Fault::Unseen { vm: scheduler() });
}

/// Guards against slots that stay taken, and requests that wait in vain, because a message was lost.
#[test]
fn messages_are_lost() {
    play(Fault::Lost { permille: 20 });
}

/// Guards against a doubled request that takes two slots, and a doubled end that frees two.
#[test]
fn messages_come_twice() {
    play(Fault::Doubled { permille: 50 });
}

/// Guards against late grants whose slots nobody uses or returns.
#[test]
fn messages_come_late() {
    play(Fault::Late {
        permille: 20,
        by: 200,
    });
}

/// Guards against grants and waiting requests that outlive the VM that asked for them.
#[test]
fn a_vm_that_holds_slots_is_gone() {
    let asker = (0..region::VMS).find(|vm| {
        let plan = SlotPlan::new(&region_vms(region::VMS), &engines(region::ENGINES));
        plan.schedulers()
            .all(|(_, scheduler)| *scheduler != name(*vm))
    });
    play(Fault::Killed {
        vm: asker.expect("a VM that schedules nothing"),
        at: 2_000,
    });
}

/// Guards against slots of an engine that is gone which its successor is thought to lack.
#[test]
fn an_engine_is_replaced() {
    play(Fault::Replaced {
        engine: 3,
        at: 2_000,
    });
}

/// Guards against slots granted to callers who have left.
#[test]
fn waiting_callers_leave() {
    play(Fault::Leaving { permille: 200 });
}

/// Guards against an engine whose slots are beyond reason, which takes the VM's memory and leaves the others without a scheduler.
#[test]
fn an_engine_with_too_many_slots_takes_no_scheduler_from_the_others() {
    const ENGINES: usize = 4;
    let mut all = engines(ENGINES);
    for engine in &mut all[..2] {
        engine.slots = u32::MAX;
    }
    let plan = SlotPlan::new(&region_vms(region::VMS), &all);
    let groups = all.iter().filter_map(|engine| plan.group(engine.key));
    let schedulers = groups.filter_map(|group| plan.scheduler(group));
    assert_eq!(schedulers.count(), ENGINES);
    assert!(plan.schedulers().count() <= ENGINES);
}
