//! Scheduling of the slots of a region's engines, over all its VMs.

use {
    ebonystand_core::*,
    rand::{RngExt as _, SeedableRng as _},
    rand_pcg::Pcg64Mcg,
    region::{Fault, Play, Report, Way},
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        time::Duration,
    },
};

mod cost;
mod failures;
mod former_process;
mod load;
mod queue;
mod region;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn key(engine: usize) -> UpstreamKey {
    format!("engine-{engine}").as_str().into()
}

fn name(vm: usize) -> VmId {
    format!("vm-{vm}").into()
}

fn region_vms(count: usize) -> Vec<RegionVm> {
    let vms = (0..count).map(|vm| RegionVm {
        capacity: VmCapacity::REFERENCE,
        is_staying: true,
        vm: name(vm),
        zone: "a".into(),
    });
    vms.collect()
}

fn engines(count: usize) -> Vec<SlotEngine> {
    let engines = (0..count).map(|engine| SlotEngine {
        key: key(engine),
        service: "chat".into(),
        slots: region::SLOTS,
    });
    engines.collect()
}
