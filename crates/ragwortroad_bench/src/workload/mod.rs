//! What arrives and what goes wrong, drawn from a seed before anything runs.

pub(crate) mod arrival_plan;
pub(crate) mod bench_rng;
pub(crate) mod disturbance_plan;
pub(crate) mod disturbance_set;
pub(crate) mod workload_spec;
