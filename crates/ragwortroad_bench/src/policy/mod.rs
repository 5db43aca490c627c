//! The routing policies that the bench compares.

pub(crate) mod baseline_view;
pub(crate) mod policy_kind;
