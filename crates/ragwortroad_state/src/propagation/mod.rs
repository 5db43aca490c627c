//! Determines when a change is in force on every node that may still admit work.

pub(crate) mod admission_table;
pub(crate) mod follow_timing;
pub(crate) mod in_force_wait;
pub(crate) mod promise_tracker;
pub(crate) mod staleness_guard;
