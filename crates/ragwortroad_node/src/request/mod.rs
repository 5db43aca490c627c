//! Requests between their admission call and their end.

pub(crate) mod claim_queue;
pub(crate) mod ended_attempts;
pub(crate) mod pending_attempt;
pub(crate) mod ticket_table;
pub(crate) mod wait_table;
