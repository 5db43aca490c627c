//! Handling of failures: retries within a budget, and ejection of failing endpoints.

pub(crate) mod outlier_settings;
pub(crate) mod outlier_table;
pub(crate) mod retry_budget;
pub(crate) mod retry_policy;
