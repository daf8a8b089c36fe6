//! Exchange of load reports between the VMs of a region, and the choice of the VMs that relay them.
//!
//! In a small region, each VM, unless it is about to stop, is a relay and sends its load to all
//! others. In a larger one, a few VMs of each zone are relays. Any other VM reports to one relay and
//! receives the sum over the region, so that the number of messages per VM hardly grows with the
//! region.

use super::*;

pub use {
    contact_counts::{ContactCounts, ZoneContacts},
    known_speed::KnownSpeed,
    limit_news::LimitNews,
    load_message::LoadMessage,
    region_vm::RegionVm,
    relay_plan::RelayPlan,
    relayed_latency::RelayedLatency,
    speed_news::SpeedNews,
    speed_sample::SpeedSample,
    state::LoadExchange,
    under_way::UnderWay,
    upstream_key::{UpstreamKey, UpstreamLoads},
    work_time_news::WorkTimeNews,
};

pub(crate) use {heard_limit::HeardLimit, heard_work_time::HeardWorkTime};

use {peer_loads::PeerLoads, report_log::ReportLog, speed_queue::SpeedQueue};

mod contact_counts;
mod heard_limit;
mod heard_work_time;
mod known_speed;
mod limit_news;
mod load_message;
mod peer_loads;
mod region_vm;
mod relay_plan;
mod relayed_latency;
mod report_log;
mod speed_news;
mod speed_queue;
mod speed_sample;
mod state;
mod under_way;
mod upstream_key;
mod work_time_news;
