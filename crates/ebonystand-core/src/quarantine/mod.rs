//! Quarantine of requests that crash the upstreams they run on.

use super::*;

pub use {
    outgoing_quarantine_message::OutgoingQuarantineMessage,
    quarantine_decision::QuarantineDecision,
    quarantine_message::QuarantineMessage,
    quarantine_output::{PermitAnswer, QuarantineOutput},
    run_end::RunEnd,
    run_permit::RunPermit,
    state::Quarantine,
};

use {
    pending_run_report::PendingRunReport,
    permit_request::PermitRequest,
    suspect::{CrashReport, RunGrant, Suspect, VmRun},
    suspect_table::SuspectTable,
};

mod outgoing_quarantine_message;
mod pending_run_report;
mod permit_request;
mod quarantine_decision;
mod quarantine_message;
mod quarantine_output;
mod run_end;
mod run_permit;
mod state;
mod suspect;
mod suspect_table;
