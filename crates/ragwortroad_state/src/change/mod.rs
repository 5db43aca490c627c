//! Operators' changes: one acceptance for each revision, and the first outcome for each resend.

pub(crate) mod accepted_change;
pub(crate) mod change_command;
pub(crate) mod change_log;
pub(crate) mod change_outcome;
pub(crate) mod config_update;
