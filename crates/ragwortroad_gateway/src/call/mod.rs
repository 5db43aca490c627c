//! Calls from the traffic threads to the control thread.

pub(crate) mod address_call;
pub(crate) mod admit_call;
pub(crate) mod admit_reply;
pub(crate) mod announce_call;
pub(crate) mod attempt_outcome;
pub(crate) mod control_call;
pub(crate) mod finish_call;
pub(crate) mod operator_call;
pub(crate) mod ticket_id;
