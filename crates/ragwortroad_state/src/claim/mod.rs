//! Claims of non-idempotent requests, which ensure that each idempotency key runs at most once.

pub(crate) mod claim_count;
pub(crate) mod claim_entry;
pub(crate) mod claim_key;
pub(crate) mod claim_outcome;
pub(crate) mod claim_step;
pub(crate) mod claim_table;
pub(crate) mod customer_claims;
