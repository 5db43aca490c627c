//! The ways of choosing an engine that are compared.

pub(crate) mod baseline_view;
pub(crate) mod policy_kind;
