//! Fakes of what the decisions meet.

pub(crate) mod block_cache;
pub(crate) mod fake_engine;
