//! Once-only orders: requests with an order key, which run at most once. Contains the replicated
//! journal of orders, the grants to send them, and the replies to callers.

use super::*;

pub use {
    order_action::OrderAction, order_answer::OrderAnswer, order_command::OrderCommand,
    order_dispatch::OrderDispatch, order_holder::OrderHolder,
    order_holder_source::OrderHolderSource, order_id::OrderId, order_journal::OrderJournal,
    order_key_error::OrderKeyError, order_key_parts::OrderKeyParts, order_limits::OrderLimits,
    order_outcome::OrderOutcome, order_region::order_region, order_reply::OrderReply,
    order_request::OrderRequest, order_stale_reason::OrderStaleReason,
};

pub(crate) use {
    order_phase::OrderPhase, order_record::OrderRecord, order_sort_key::OrderSortKey,
    order_state::OrderState,
};

mod order_action;
mod order_answer;
mod order_command;
mod order_dispatch;
mod order_holder;
mod order_holder_source;
mod order_id;
mod order_journal;
mod order_key_error;
mod order_key_parts;
mod order_limits;
mod order_outcome;
mod order_phase;
mod order_record;
mod order_region;
mod order_reply;
mod order_request;
mod order_sort_key;
mod order_stale_reason;
mod order_state;
