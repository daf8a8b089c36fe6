//! Serves plain HTTP requests by routes. A [`Dialect`] defines the headers, the core crate makes
//! the decisions, and this module carries requests to upstreams and answers back to callers.

use super::*;

pub use {
    answer_marks::AnswerMarks,
    call_head::CallHead,
    connection::ConnectionFault,
    dialect::Dialect,
    extension::{Extension, Handler, Surface},
    fetch::{Fetch, FetchError},
    gateway_handle::Gateway,
    headers::{passed_on, resumption as header_resumption, set as set_header, text as header_text},
    outgoing_call::OutgoingCall,
    replace_error::ReplaceError,
    settings::GatewaySettings,
    upstream_source::{ReadEnd, UpstreamRead, UpstreamSource},
};

pub(crate) use {
    connection::is_final, controller::GatewayController, list_controller::ListController,
    request_content::RequestContent, slot_controller::SlotController,
};

use {
    connection::{Connection, ResponseReader},
    connection_pool::ConnectionPool,
    failure_answer::FailureAnswer,
};

mod abandonment_log;
mod admitted;
mod answer_marks;
mod attempt;
mod call;
mod call_head;
mod connection;
mod connection_pool;
mod controller;
mod crash_watch;
mod dialect;
mod extension;
mod failure_answer;
mod fetch;
mod forward;
mod forwarders;
mod gateway_handle;
mod headers;
mod list_controller;
mod native_dialect;
mod origin_controller;
mod outgoing_call;
mod path_watch;
pub(crate) mod receive_forward;
mod relay;
mod replace_error;
mod request_content;
mod retry_budgets;
mod room_queues;
pub(crate) mod serve_call;
mod settings;
mod slot_controller;
mod slot_hold;
mod slot_turn;
mod upstream_source;
