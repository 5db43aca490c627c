//! A gateway with a fake control thread, for tests over real HTTP.
#![allow(clippy::unwrap_used, dead_code, missing_docs, unreachable_pub)]

pub mod fake_control;
pub mod raw_client;
pub mod test_fleet;
