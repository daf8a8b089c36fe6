//! Request routing of the gateway: which upstream gets a request, which VMs callers connect to, and
//! how long a VM may rely on its copy of the configuration without confirmation.

use super::*;

pub use {
    answer_limit::AnswerLimit,
    answer_pause::AnswerPause,
    answer_pause_error::AnswerPauseError,
    answer_work_time::AnswerWorkTime,
    attempt_end::AttemptEnd,
    call_kind::CallKind,
    choice_query::ChoiceQuery,
    cold_terms::ColdTerms,
    confirmation::Confirmation,
    entry_list_selector::EntryListSelector,
    gateway_route::GatewayRoute,
    gateway_service::GatewayService,
    gateway_workspace::GatewayWorkspace,
    holder_plan::HolderPlan,
    ineligible_upstreams::IneligibleUpstreams,
    list_mismatch::ListMismatch,
    list_reader_election::ListReaderElection,
    list_reading::ListReading,
    list_scope::ListScope,
    list_update::ListUpdate,
    listed_upstream::ListedUpstream,
    listed_upstream_error::ListedUpstreamError,
    live_vms::LiveVms,
    mechanism::Mechanism,
    next_step::NextStep,
    offered_room::OfferedRoom,
    path_health::ProbeOutcome,
    prompt::{Prompt, PromptPart},
    quota::{Quota, QuotaUnit},
    reading_dates::ReadingDates,
    reading_speed::ReadingSpeed,
    reported_slots::ReportedSlots,
    room_queue::{RoomQueue, RoomRequest, spread_return},
    route_table::RouteTable,
    routing::Routing,
    routing_fault::RoutingFault,
    service_latency::ServiceLatency,
    software_history::SoftwareHistory,
    software_rule::SoftwareRule,
    split_part::SplitPart,
    target_choice::TargetChoice,
    upstream_book::UpstreamBook,
    upstream_limit::UpstreamLimit,
    upstream_limit_error::UpstreamLimitError,
    upstream_list::UpstreamList,
    upstream_notice_status::UpstreamNoticeStatus,
    upstream_speed_status::UpstreamSpeedStatus,
    work_time::WorkTime,
};

pub(crate) use work_window::WorkWindow;

use {
    answer_time_meter::AnswerTimeMeter, arrival_meter::ArrivalMeter,
    capacity_sample::CapacitySample, cold_start_limiter::ColdStartLimiter,
    event_gap_meter::EventGapMeter, ineligibility::Ineligibility, known_upstream::KnownUpstream,
    learned_speed::LearnedSpeed, limit_share::LimitShare, momentary_speed::MomentarySpeed,
    named_limit::NamedLimit, path_health::PathHealth, region_budget::RegionBudget,
    send_pacer::SendPacer, sent_prefixes::SentPrefixes, sent_read::SentRead,
    upstream_pause::UpstreamPause, zone_health::ZoneHealth,
};

mod answer_limit;
mod answer_pause;
mod answer_pause_error;
mod answer_time_meter;
mod answer_work_time;
mod arrival_meter;
mod attempt_end;
mod call_kind;
mod capacity_sample;
mod choice_query;
mod cold_start_limiter;
mod cold_terms;
mod confirmation;
mod entry_list_selector;
mod event_gap_meter;
mod gateway_route;
mod gateway_service;
mod gateway_workspace;
mod holder_plan;
mod ineligibility;
mod ineligible_upstreams;
mod known_upstream;
mod learned_speed;
mod limit_share;
mod list_mismatch;
mod list_reader_election;
mod list_reading;
mod list_scope;
mod list_update;
mod listed_upstream;
mod listed_upstream_error;
mod live_vms;
mod mechanism;
mod momentary_speed;
mod named_limit;
mod next_step;
mod offered_room;
mod path_health;
mod prompt;
mod prompt_placement;
mod quota;
mod reading_dates;
mod reading_speed;
mod region_budget;
mod reported_slots;
mod room_queue;
mod route_table;
mod routing;
mod routing_fault;
mod send_pacer;
mod sent_prefixes;
mod sent_read;
mod service_latency;
mod software_history;
mod software_rule;
mod split_part;
mod target_choice;
mod upstream_book;
mod upstream_choice;
mod upstream_eligibility;
mod upstream_limit;
mod upstream_limit_error;
mod upstream_limits;
mod upstream_list;
mod upstream_listing;
mod upstream_notice_status;
mod upstream_notices;
mod upstream_paths;
mod upstream_pause;
mod upstream_pressure;
mod upstream_room;
mod upstream_shortlist;
mod upstream_slots;
mod upstream_speed_status;
mod upstream_speeds;
mod work_time;
mod work_window;
mod zone_health;
