//! Handling of failures: retries within a budget, and ejection of failing endpoints.

mod crash_entry;
mod crash_judgement;
pub(crate) mod crash_settings;
pub(crate) mod crash_table;
mod crash_trials;
mod crash_verdict;
pub(crate) mod outlier_settings;
pub(crate) mod outlier_table;
mod part_entry;
pub(crate) mod part_settings;
pub(crate) mod part_table;
mod recent_writes;
pub(crate) mod rest_table;
pub(crate) mod retry_budget;
pub(crate) mod retry_policy;
