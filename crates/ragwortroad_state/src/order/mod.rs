//! Orders to engines: which node may send them, when, and which are still needed.

pub(crate) mod engine_observation;
pub(crate) mod engine_order;
pub(crate) mod engine_target;
pub(crate) mod lease_table;
pub(crate) mod load_queue;
pub(crate) mod managed_engine;
pub(crate) mod order_gate;
pub(crate) mod order_key;
pub(crate) mod order_plan;
pub(crate) mod order_settings;
pub(crate) mod order_table;
pub(crate) mod order_timing;
