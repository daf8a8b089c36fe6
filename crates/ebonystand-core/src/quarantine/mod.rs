//! Quarantine of requests, and of parts of prompts, that crash the upstreams they run on.

use super::*;

pub use {
    crash_rule::CrashRule,
    explained_ends::ExplainedEnds,
    outgoing_quarantine_message::OutgoingQuarantineMessage,
    part_gate::PartGate,
    part_message::{AnnouncedPart, LostRun, PartMessage},
    part_output::{OutgoingPartMessage, PartOutput},
    part_quarantine::PartQuarantine,
    part_stage::PartStage,
    part_status::PartStatus,
    quarantine_decision::QuarantineDecision,
    quarantine_message::QuarantineMessage,
    quarantine_output::{PermitAnswer, QuarantineOutput},
    run_end::RunEnd,
    run_permit::RunPermit,
    state::Quarantine,
    suspect_stage::SuspectStage,
    suspect_status::SuspectStatus,
};

use {
    part_case::PartCase,
    part_survivals::PartSurvivals,
    pending_run_report::PendingRunReport,
    permit_request::PermitRequest,
    service_parts::ServiceParts,
    survivals::Survivals,
    suspect::{CrashReport, RunGrant, Suspect, VmRun},
    suspect_table::SuspectTable,
    upstream_end::UpstreamEnd,
};

mod crash_rule;
mod explained_ends;
mod outgoing_quarantine_message;
mod part_case;
mod part_gate;
mod part_message;
mod part_output;
mod part_quarantine;
mod part_stage;
mod part_status;
mod part_survivals;
mod pending_run_report;
mod permit_request;
mod quarantine_decision;
mod quarantine_message;
mod quarantine_output;
mod run_end;
mod run_permit;
mod service_parts;
mod state;
mod survivals;
mod suspect;
mod suspect_stage;
mod suspect_status;
mod suspect_table;
mod upstream_end;
