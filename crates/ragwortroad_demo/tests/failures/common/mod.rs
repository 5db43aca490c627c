pub(crate) mod booking_history;
pub(crate) mod caller;
pub(crate) mod fleet;
pub(crate) mod load_spans;
pub(crate) mod operator_history;
