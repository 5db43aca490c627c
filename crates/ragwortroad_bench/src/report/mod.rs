//! The results of a run, as text and JSON.

pub(crate) mod bench_report;
pub(crate) mod policy_report;
pub(crate) mod text_cells;
