//! Placement: which engine of a region loads which model.

use super::*;

pub use {
    placement_action::PlacementAction, placement_order::PlacementOrder,
    placement_reason::PlacementReason, placement_settings::PlacementSettings,
    state::PlacementController,
};

pub(crate) use placement_view::PlacementView;

mod placement_action;
mod placement_order;
mod placement_reason;
mod placement_settings;
mod placement_view;
mod state;
