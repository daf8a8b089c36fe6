//! Requests that crash the upstreams that run them.

use super::*;

pub use {
    quarantine_message::QuarantineMessage,
    quarantine_send::QuarantineSend,
    quarantine_step::{PermitAnswer, QuarantineStep},
    quarantine_verdict::QuarantineVerdict,
    state::Quarantine,
};

mod quarantine_message;
mod quarantine_send;
mod quarantine_step;
mod quarantine_verdict;
mod state;
