//! Fleet-wide rate and concurrency limits of customers, enforced by nodes that each see only a part
//! of the requests.

pub(crate) mod customer_entry;
pub(crate) mod customer_limit;
pub(crate) mod customer_limiter;
pub(crate) mod demand_coordinator;
pub(crate) mod demand_digest;
pub(crate) mod limit_answer;
pub(crate) mod limiter_settings;
pub(crate) mod share_digest;
pub(crate) mod token_bucket;
