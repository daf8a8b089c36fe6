//! Gossip messages and the view of the fleet that tell which VMs are live, and the members of a
//! replicated group.

use super::*;

pub use {
    membership_body::MembershipBody, membership_message::MembershipMessage,
    membership_output::MembershipOutput, membership_update::MembershipUpdate, state::Membership,
};

pub(crate) use {membership_view::MembershipView, update_queue::UpdateQueue};

mod membership_body;
mod membership_message;
mod membership_output;
mod membership_update;
mod membership_view;
mod state;
mod update_queue;
