//! What a run found, as text and as JSON.

pub(crate) mod bench_report;
pub(crate) mod policy_report;
pub(crate) mod text_cells;
