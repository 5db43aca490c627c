//! The control thread, which holds all state of a node and makes every decision.
//!
//! The methods of [`ControlState`](control_state::ControlState) are split over files by subject,
//! one `*_flow` file each.

pub(crate) mod address_flow;
pub(crate) mod admit_flow;
pub(crate) mod claim_flow;
pub(crate) mod config_follower;
pub(crate) mod control_inbox;
pub(crate) mod control_state;
pub(crate) mod crash_flow;
pub(crate) mod endpoint_flow;
pub(crate) mod event_flow;
pub(crate) mod fleet_view;
pub(crate) mod follow_flow;
pub(crate) mod gauge_flow;
pub(crate) mod grant_flow;
pub(crate) mod leader_flow;
pub(crate) mod line_flow;
pub(crate) mod line_table;
pub(crate) mod member_flow;
pub(crate) mod order_flow;
pub(crate) mod peer_flow;
pub(crate) mod rest_flow;
pub(crate) mod show_flow;
pub(crate) mod slot_flow;
