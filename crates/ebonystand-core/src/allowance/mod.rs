//! Fleet-wide token allowance of each workspace, divided into parts that VMs lend each other as
//! leases.

use super::*;

pub use {
    allowance_action::AllowanceAction,
    allowance_item::AllowanceItem,
    allowance_message::AllowanceMessage,
    allowance_output::AllowanceOutput,
    allowance_part::{AllowancePart, MicroTokens},
    allowance_status::AllowanceStatus,
    grant_refund::GrantRefund,
    state::Allowance,
};

pub(crate) use {
    allowance_cx::AllowanceCx, allowance_fleet::AllowanceFleet,
    allowance_holders::AllowanceHolders, allowance_lender::AllowanceLender,
    allowance_plan::AllowancePlan, allowance_share::AllowanceShare,
    allowance_ticket::AllowanceTicket, claim_round::ClaimRound, grant_ledger::GrantLedger,
    held_grant::HeldGrant, open_claim::OpenClaim, retry_schedule::RetrySchedule,
    waiting_claim::WaitingClaim,
};

mod allowance_action;
mod allowance_configure;
mod allowance_cx;
mod allowance_fleet;
mod allowance_holders;
mod allowance_item;
mod allowance_lender;
mod allowance_message;
mod allowance_output;
mod allowance_part;
mod allowance_plan;
mod allowance_share;
mod allowance_share_borrow;
mod allowance_share_claim;
mod allowance_share_grant;
mod allowance_share_lend;
mod allowance_share_timer;
mod allowance_status;
mod allowance_ticket;
mod claim_round;
mod grant_ledger;
mod grant_refund;
mod held_grant;
mod open_claim;
mod retry_schedule;
mod state;
mod waiting_claim;
