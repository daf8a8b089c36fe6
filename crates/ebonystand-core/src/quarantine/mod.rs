//! Quarantine of requests that crash the upstreams they run on.

use super::*;

pub use {
    outgoing_quarantine_message::OutgoingQuarantineMessage,
    quarantine_decision::QuarantineDecision,
    quarantine_message::QuarantineMessage,
    quarantine_output::{PermitAnswer, QuarantineOutput},
    state::Quarantine,
};

mod outgoing_quarantine_message;
mod quarantine_decision;
mod quarantine_message;
mod quarantine_output;
mod state;
