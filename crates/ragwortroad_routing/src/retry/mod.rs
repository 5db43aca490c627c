//! What happens after a failure: retries within a budget, and endpoints set aside.

pub(crate) mod outlier_settings;
pub(crate) mod outlier_table;
pub(crate) mod retry_budget;
pub(crate) mod retry_policy;
