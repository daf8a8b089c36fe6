//! Exchange of load reports between the VMs of a region, and the choice of the VMs that relay them.
//!
//! In a small region, each VM, unless it is about to stop, is a relay and sends its load to all
//! others. In a larger one, a few VMs of each zone are relays. Any other VM reports to one relay and
//! receives the sum over the region, so that the number of messages per VM hardly grows with the
//! region.

use super::*;

pub use {
    contact_counts::{ContactCounts, ZoneContacts},
    limit_news::LimitNews,
    load_message::LoadMessage,
    region_vm::RegionVm,
    relay_plan::RelayPlan,
    relayed_latency::RelayedLatency,
    state::LoadExchange,
    under_way::UnderWay,
    upstream_key::{UpstreamKey, UpstreamLoads},
};

pub(crate) use heard_limit::HeardLimit;

use {peer_loads::PeerLoads, report_log::ReportLog};

mod contact_counts;
mod heard_limit;
mod limit_news;
mod load_message;
mod peer_loads;
mod region_vm;
mod relay_plan;
mod relayed_latency;
mod report_log;
mod state;
mod under_way;
mod upstream_key;
