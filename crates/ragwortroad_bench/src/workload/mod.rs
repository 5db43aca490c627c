//! Arrivals and disturbances, generated from a seed before the run starts.

pub(crate) mod arrival_plan;
pub(crate) mod bench_rng;
pub(crate) mod disturbance_plan;
pub(crate) mod disturbance_set;
pub(crate) mod workload_spec;
