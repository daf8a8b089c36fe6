//! Decisions of the gateway: configuration, routing, allowance, retry, once-only orders, the
//! replicated log and membership.
//!
//! Nothing here reads a clock, opens a socket or touches a file. Each decision takes the time as
//! a [`Duration`] since an arbitrary start of the calling process's monotonic clock, and typed
//! inputs; it returns typed outputs. The daemon turns sockets, timers and files into inputs.

use {
    backlog::{Backlog, WaitingEntry},
    borrowed_lease::BorrowedLease,
    borrower::Borrower,
    bytes::Bytes,
    change_log::ChangeLog,
    circuit_breaker::CircuitBreaker,
    deferred_message::DeferredMessage,
    demand_meter::DemandMeter,
    derive_more::{Display, From},
    encoded_weight::*,
    event_scanner::EventScanner,
    feed_peers::FeedPeers,
    fenced_role_phase::FencedRolePhase,
    fleet_load_factor::FleetLoadFactor,
    gateway::WorkWindow,
    handover::Handover,
    lent_lease::LentLease,
    link_budgets::LinkBudgets,
    newer_peers::NewerPeers,
    observed_load::ObservedLoad,
    open_ask::OpenAsk,
    prefix_hints::PrefixHints,
    prober::Prober,
    readiness::Readiness,
    recall::Recall,
    region_contact::millis,
    region_contacts::RegionContacts,
    rendezvous_hash::RendezvousHash,
    replica_count::ReplicaCount,
    route_refusal::RouteRefusal,
    rustc_hash::{FxHashMap, FxHashSet},
    scored_upstream::ScoredUpstream,
    seed_addresses::SeedAddresses,
    sent_parts::SentParts,
    serde::{Deserialize, Serialize},
    slack_entry::SlackEntry,
    slack_history::SlackHistory,
    snafu::Snafu,
    snapshot_assembly::SnapshotAssembly,
    snapshot_transfer::SnapshotTransfer,
    std::{
        cmp::Ordering,
        collections::{BTreeMap, BTreeSet, VecDeque},
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
    token_bucket::{TokenBucket, accrual_time, mul_div},
    unsynced_batch::UnsyncedBatch,
    upstream_group::UpstreamGroup,
    upstream_index::UpstreamIndex,
    upstream_state::UpstreamState,
    vm_table::VmTable,
    withdrawal_proposals::WithdrawalProposals,
    xxhash_rust::xxh3::{Xxh3, Xxh3Default, xxh3_64, xxh3_64_with_seed},
};

pub use {
    accepted_change::AcceptedChange,
    admission::Admission,
    allowance::*,
    answer_time::AnswerTime,
    append_outcome::AppendOutcome,
    ask_id::AskId,
    body_hash::BodyHash,
    buffered_answers::BufferedAnswers,
    cache_change::CacheChange,
    cache_event::CacheEvent,
    call::Call,
    capacity_throttle::CapacityThrottle,
    catalog::Catalog,
    change::Change,
    change_outcome::ChangeOutcome,
    change_request::ChangeRequest,
    command::Command,
    command_outcome::CommandOutcome,
    connection_action::ConnectionAction,
    deadline::Deadline,
    departure::Departure,
    dispatch_end::DispatchEnd,
    document::*,
    drain_status::DrainStatus,
    durable_state::DurableState,
    engine_report::EngineReport,
    entry_list::EntryList,
    entry_vm::EntryVm,
    evacuation_versions::EvacuationVersions,
    event_boundary::EventBoundary,
    fair_queue::FairQueue,
    feed::Feed,
    feed_input::FeedInput,
    feed_message::FeedMessage,
    feed_output::FeedOutput,
    fence::*,
    fenced_role::FencedRole,
    fenced_role_error::FencedRoleError,
    fenced_role_timings::FencedRoleTimings,
    gateway::*,
    group_member_status::GroupMemberStatus,
    group_status::GroupStatus,
    hard_state::HardState,
    held_answers::HeldAnswers,
    ids::*,
    in_flight_order::InFlightOrder,
    issued_key::IssuedKey,
    key::Key,
    key_hash::KeyHash,
    lease_hold::LeaseHold,
    lease_id::LeaseId,
    lease_return::LeaseReturn,
    lease_terms::LeaseTerms,
    link::Link,
    link_budget::LinkBudget,
    liveness_snapshot::LivenessSnapshot,
    load_exchange::*,
    load_report::LoadReport,
    log_budget::{LogBudget, LogKind},
    log_entry::LogEntry,
    log_payload::LogPayload,
    log_position::LogPosition,
    log_record::LogRecord,
    log_snapshot::LogSnapshot,
    member_change::MemberChange,
    member_id::MemberId,
    membership::*,
    model_replica::ModelReplica,
    model_requirements::ModelRequirements,
    operator_error::OperatorError,
    operator_path::*,
    operator_status::OperatorStatus,
    order::*,
    order_permit::OrderPermit,
    part_clear_status::PartClearStatus,
    pending_evacuation::{EvacuationError, PendingEvacuation},
    place::Place,
    placement::*,
    prefix_cache::*,
    preset::Preset,
    preset_name::PresetName,
    presets::Presets,
    priority::Priority,
    processor_meter::ProcessorMeter,
    proposal_error::ProposalError,
    pull_outcome::PullOutcome,
    quarantine::*,
    quarantine_clear_status::QuarantineClearStatus,
    question_stamps::QuestionStamps,
    queue_entry::QueueEntry,
    queue_outcome::QueueOutcome,
    refusal::Refusal,
    refusal_code::RefusalCode,
    region::Region,
    region_contact::RegionContact,
    replica::*,
    reservation::Reservation,
    resumption::Resumption,
    retry_budget::RetryBudget,
    retry_budget_status::RetryBudgetStatus,
    retry_grant::RetryGrant,
    retryable::Retryable,
    route::Route,
    route_candidate::RouteCandidate,
    route_query::RouteQuery,
    route_reason::RouteReason,
    router::Router,
    run_state::RunState,
    service::Service,
    slots::*,
    smoothed_rate::SmoothedRate,
    software_status::SoftwareStatus,
    stall_watch::StallWatch,
    state_machine::StateMachine,
    stream_fault::StreamFault,
    stream_framing::StreamFraming,
    stream_guard::StreamGuard,
    stream_origin::*,
    stream_verdict::StreamVerdict,
    target::Target,
    ticket_id::TicketId,
    traffic_class::TrafficClass,
    unsent_order::UnsentOrder,
    upstream::Upstream,
    upstream_kind::UpstreamKind,
    upstream_limit_status::UpstreamLimitStatus,
    upstream_status::UpstreamStatus,
    vm_capacity::VmCapacity,
    vm_entry::VmEntry,
    vm_health::VmHealth,
    vm_hint::VmHint,
    vm_membership::VmMembership,
    vm_record::VmRecord,
    vm_record_id::VmRecordId,
    vm_resources::VmResources,
    vm_returns::VmReturns,
    vm_state::VmState,
    vm_status::VmStatus,
    withdrawal::Withdrawal,
    withdrawal_status::WithdrawalStatus,
    withdrawals::Withdrawals,
    workspace::Workspace,
    workspace_allowance_status::WorkspaceAllowanceStatus,
};

mod accepted_change;
mod admission;
mod allowance;
mod answer_time;
mod append_outcome;
mod ask_id;
mod backlog;
mod body_hash;
mod borrowed_lease;
mod borrower;
mod buffered_answers;
mod cache_change;
mod cache_event;
mod call;
mod capacity_throttle;
mod catalog;
mod change;
mod change_log;
mod change_outcome;
mod change_request;
mod circuit_breaker;
mod command;
mod command_outcome;
mod connection_action;
mod deadline;
mod deferred_message;
mod demand_meter;
mod departure;
mod dispatch_end;
mod document;
mod drain_status;
mod durable_state;
mod encoded_weight;
mod engine_report;
mod entry_list;
mod entry_vm;
mod evacuation_versions;
mod event_boundary;
mod event_scanner;
mod fair_queue;
mod feed;
mod feed_input;
mod feed_message;
mod feed_output;
mod feed_peers;
mod fence;
mod fenced_role;
mod fenced_role_error;
mod fenced_role_phase;
mod fenced_role_timings;
mod fleet_load_factor;
mod gateway;
mod group_member_status;
mod group_status;
mod handover;
mod hard_state;
mod held_answers;
mod ids;
mod in_flight_order;
mod issued_key;
mod key;
mod key_hash;
mod lease_hold;
mod lease_id;
mod lease_return;
mod lease_terms;
mod lent_lease;
mod link;
mod link_budget;
mod link_budgets;
mod liveness_snapshot;
mod load_exchange;
mod load_report;
mod log_budget;
mod log_entry;
mod log_payload;
mod log_position;
mod log_record;
mod log_snapshot;
mod member_change;
mod member_id;
mod membership;
mod model_replica;
mod model_requirements;
mod newer_peers;
mod observed_load;
mod open_ask;
mod operator_error;
mod operator_path;
mod operator_status;
mod order;
mod order_permit;
mod part_clear_status;
mod pending_evacuation;
mod place;
mod placement;
mod prefix_cache;
mod prefix_hints;
mod preset;
mod preset_name;
mod presets;
mod priority;
mod prober;
mod processor_meter;
mod proposal_error;
mod pull_outcome;
mod quarantine;
mod quarantine_clear_status;
mod question_stamps;
mod queue_entry;
mod queue_outcome;
mod readiness;
mod recall;
mod refusal;
mod refusal_code;
mod region;
mod region_contact;
mod region_contacts;
mod rendezvous_hash;
mod replica;
mod replica_count;
mod reservation;
mod resumption;
mod retry_budget;
mod retry_budget_status;
mod retry_grant;
mod retryable;
mod route;
mod route_candidate;
mod route_query;
mod route_reason;
mod route_refusal;
mod router;
mod run_state;
mod scored_upstream;
mod seed_addresses;
mod sent_parts;
mod service;
mod slack_entry;
mod slack_history;
mod slots;
mod smoothed_rate;
mod snapshot_assembly;
mod snapshot_transfer;
mod software_status;
mod stall_watch;
mod state_machine;
mod stream_fault;
mod stream_framing;
mod stream_guard;
mod stream_origin;
mod stream_verdict;
mod target;
mod ticket_id;
mod token_bucket;
mod traffic_class;
mod unsent_order;
mod unsynced_batch;
mod upstream;
mod upstream_group;
mod upstream_index;
mod upstream_kind;
mod upstream_limit_status;
mod upstream_state;
mod upstream_status;
mod vm_capacity;
mod vm_entry;
mod vm_health;
mod vm_hint;
mod vm_membership;
mod vm_record;
mod vm_record_id;
mod vm_resources;
mod vm_returns;
mod vm_state;
mod vm_status;
mod vm_table;
mod withdrawal;
mod withdrawal_proposals;
mod withdrawal_status;
mod withdrawals;
mod workspace;
mod workspace_allowance_status;
