//! Quarantine of requests that crash the upstreams they run on.

use super::*;

pub use {
    crash_rule::CrashRule,
    outgoing_quarantine_message::OutgoingQuarantineMessage,
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
    pending_run_report::PendingRunReport,
    permit_request::PermitRequest,
    survivals::Survivals,
    suspect::{CrashReport, RunGrant, Suspect, VmRun},
    suspect_table::SuspectTable,
};

mod crash_rule;
mod outgoing_quarantine_message;
mod pending_run_report;
mod permit_request;
mod quarantine_decision;
mod quarantine_message;
mod quarantine_output;
mod run_end;
mod run_permit;
mod state;
mod survivals;
mod suspect;
mod suspect_stage;
mod suspect_status;
mod suspect_table;
