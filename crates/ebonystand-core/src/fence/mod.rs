//! Fencing of roles that at most one process holds at a time.

use super::*;

pub use {
    fence_command::FenceCommand, fence_grant::FenceGrant, fence_holder::FenceHolder,
    fence_outcome::FenceOutcome, fence_permit::FencePermit, fence_registry::FenceRegistry,
};

mod fence_command;
mod fence_grant;
mod fence_holder;
mod fence_outcome;
mod fence_permit;
mod fence_registry;
