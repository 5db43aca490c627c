//! Fakes of the engines.

pub(crate) mod block_cache;
pub(crate) mod fake_engine;
