//! Routing of plain HTTP requests: which upstream gets a request that a route sends to a service,
//! who may be told of which VM, and for how long a VM may trust its copy of the configuration.

use super::*;

pub use {
    attempt_end::AttemptEnd,
    call_kind::CallKind,
    choice::Choice,
    choice_query::ChoiceQuery,
    cold_terms::ColdTerms,
    confirmation::Confirmation,
    entry_choice::EntryChoice,
    gateway_route::GatewayRoute,
    gateway_service::GatewayService,
    gateway_workspace::GatewayWorkspace,
    holder_plan::HolderPlan,
    list_reader::ListReader,
    listed_upstream::ListedUpstream,
    mechanism::Mechanism,
    next_step::NextStep,
    pressure::Pressure,
    prompt::{Prompt, PromptPart},
    quota::{Quota, QuotaUnit},
    region_vms::RegionVms,
    reported_slots::ReportedSlots,
    route_table::RouteTable,
    routing::Routing,
    routing_fault::RoutingFault,
    split_part::SplitPart,
    turn_queue::TurnQueue,
    unfit::Unfit,
    upstream_book::UpstreamBook,
};

use {
    cold_gate::ColdGate, known_upstream::KnownUpstream, prefix_memory::PrefixMemory,
    stream_pace::StreamPace, window::Window,
};

mod attempt_end;
mod call_kind;
mod choice;
mod choice_query;
mod cold_gate;
mod cold_terms;
mod confirmation;
mod entry_choice;
mod gateway_route;
mod gateway_service;
mod gateway_workspace;
mod holder_plan;
mod known_upstream;
mod list_reader;
mod listed_upstream;
mod mechanism;
mod next_step;
mod prefix_memory;
mod pressure;
mod prompt;
mod quota;
mod region_vms;
mod reported_slots;
mod route_table;
mod routing;
mod routing_fault;
mod split_part;
mod stream_pace;
mod turn_queue;
mod unfit;
mod upstream_book;
mod upstream_choice;
mod upstream_pressure;
mod window;
