//! Orders to engines: planning which models they hold, and the thread that sends the orders.

pub(crate) mod engine_view;
pub(crate) mod offer_history;
pub(crate) mod order_report;
pub(crate) mod order_worker;
pub(crate) mod refused_demand;
pub(crate) mod target_plan;
#[cfg(test)]
mod tests;
#[cfg(test)]
mod worker_tests;
