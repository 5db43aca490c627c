//! Handling of failures: retries within a budget, and ejection of failing endpoints.

mod crash_entry;
pub(crate) mod crash_settings;
pub(crate) mod crash_table;
pub(crate) mod outlier_settings;
pub(crate) mod outlier_table;
pub(crate) mod rest_table;
pub(crate) mod retry_budget;
pub(crate) mod retry_policy;
