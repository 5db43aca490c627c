use serde::{
    Deserialize,
    Serialize, //
};

use crate::ClaimsEdit;

/// Limits on how long and how much the fleet remembers of idempotency keys.
///
/// The rules belong to the replicated configuration and not to a process's settings: two members
/// that applied the same claims under different rules would disagree about which key is free.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ClaimRules {
    /// Seconds for which the full outcome of a key is remembered.
    pub window_s: u32,
    /// Keys per customer with a full record; beyond this, new keys are refused.
    pub per_customer: u32,
    /// Largest response that is recorded, in bytes; of larger ones only the status is kept.
    pub answer_bytes: u32,
    /// Total bytes of recorded responses per customer; beyond this, the oldest keep only their
    /// status.
    pub answer_budget: u32,
    /// Fingerprints per customer of undated keys past the window.
    pub spent_per_customer: u32,
    /// Seconds by which a dated key may be ahead of the members' wall clocks.
    pub skew_s: u32,
    /// Seconds after which a claim without an outcome is reported as unknown.
    pub run_bound_s: u32,
}

impl Default for ClaimRules {
    fn default() -> Self {
        Self {
            window_s: 24 * 3600,
            per_customer: 20_000,
            answer_bytes: 4096,
            answer_budget: 1 << 20,
            spent_per_customer: 250_000,
            skew_s: 60,
            run_bound_s: 600,
        }
    }
}

impl ClaimRules {
    /// Returns the rules with the fields that `edit` sets replaced.
    pub(crate) fn with_edit(self, edit: &ClaimsEdit) -> Self {
        Self {
            window_s: edit.window_s.unwrap_or(self.window_s),
            per_customer: edit.per_customer.unwrap_or(self.per_customer),
            answer_bytes: edit.answer_bytes.unwrap_or(self.answer_bytes),
            answer_budget: edit.answer_budget.unwrap_or(self.answer_budget),
            spent_per_customer: edit.spent_per_customer.unwrap_or(self.spent_per_customer),
            skew_s: edit.skew_s.unwrap_or(self.skew_s),
            run_bound_s: edit.run_bound_s.unwrap_or(self.run_bound_s),
        }
    }
}
