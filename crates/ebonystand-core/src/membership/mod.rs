//! Messages and views by which VMs know which of them are live.

use super::*;

pub use {
    membership_body::MembershipBody, membership_message::MembershipMessage,
    membership_output::MembershipOutput, membership_update::MembershipUpdate, state::Membership,
};

pub(crate) use {membership_updates::MembershipUpdates, membership_view::MembershipView};

mod membership_body;
mod membership_message;
mod membership_output;
mod membership_update;
mod membership_updates;
mod membership_view;
mod state;
