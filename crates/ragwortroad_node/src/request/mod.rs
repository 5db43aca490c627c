//! Requests between their admission call and their finish.

pub(crate) mod claim_desk;
pub(crate) mod ended_attempts;
pub(crate) mod request_plan;
pub(crate) mod ticket_table;
pub(crate) mod wait_table;
