//! One order for the slots of a region's engines while they are short, over all VMs of the region.
//!
//! Each engine belongs to a scheduler, a VM of the region. A VM that finds room short asks a scheduler for
//! a slot before it sends a request; the scheduler grants one, queues the request or refuses it early.

use super::*;

pub use {
    ranked_engine::RankedEngine, slot_client::SlotClient, slot_contention::SlotContention,
    slot_decision::SlotDecision, slot_engine::SlotEngine, slot_group::SlotGroup,
    slot_message::SlotMessage, slot_offer::SlotOffer, slot_output::SlotOutput, slot_plan::SlotPlan,
    slot_pressure::SlotPressure, slot_queue::SlotQueue, slot_request::SlotRequest,
    slot_scheduler::SlotScheduler, waiting_slot::WaitingSlot, workspace_key::WorkspaceKey,
};

use {
    fair_tags::FairTags, open_slot_request::OpenSlotRequest, recent_peak::RecentPeak,
    scheduled_engine::ScheduledEngine, slot_grant::SlotGrant,
};

mod fair_tags;
mod open_slot_request;
mod ranked_engine;
mod recent_peak;
mod scheduled_engine;
mod slot_client;
mod slot_contention;
mod slot_decision;
mod slot_engine;
mod slot_grant;
mod slot_group;
mod slot_message;
mod slot_offer;
mod slot_output;
mod slot_plan;
mod slot_pressure;
mod slot_queue;
mod slot_request;
mod slot_scheduler;
mod waiting_slot;
mod workspace_key;
