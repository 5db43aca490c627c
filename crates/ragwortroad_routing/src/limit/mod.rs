//! Each customer's rate and share over the whole fleet, though each node sees only part.

pub(crate) mod customer_entry;
pub(crate) mod customer_limit;
pub(crate) mod customer_limiter;
pub(crate) mod demand_coordinator;
pub(crate) mod demand_digest;
pub(crate) mod limit_answer;
pub(crate) mod limiter_settings;
pub(crate) mod share_digest;
pub(crate) mod token_bucket;
