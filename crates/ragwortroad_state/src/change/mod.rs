//! Operators' configuration changes. Each revision has one accepted change, and a change that is
//! sent again gets its first outcome.

pub(crate) mod accepted_change;
pub(crate) mod change_command;
pub(crate) mod change_log;
pub(crate) mod change_outcome;
pub(crate) mod config_update;
