//! What the VMs of a region tell one another of the load at its upstreams, and through which of them.
//!
//! In a small region each VM tells all others. In a larger one a few VMs of each zone relay: the others
//! report to one of them and get the sum over the region back, so that the messages of a VM hardly
//! grow with the region.

use super::*;

pub use {
    load_message::LoadMessage,
    region_vm::RegionVm,
    relay_plan::RelayPlan,
    state::LoadExchange,
    told_pressure::ToldPressure,
    under_way::UnderWay,
    upstream_key::{UpstreamKey, UpstreamLoads},
};

use {peer_loads::PeerLoads, report_log::ReportLog};

mod load_message;
mod peer_loads;
mod region_vm;
mod relay_plan;
mod report_log;
mod state;
mod told_pressure;
mod under_way;
mod upstream_key;
