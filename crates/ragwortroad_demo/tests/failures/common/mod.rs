pub(crate) mod booking_history;
pub(crate) mod client;
pub(crate) mod fleet;
pub(crate) mod operator_history;
pub(crate) mod run_spans;
