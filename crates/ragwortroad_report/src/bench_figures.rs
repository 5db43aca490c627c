use serde::Deserialize;

/// The part of a decision bench's report that a page shows.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize)]
pub struct BenchFigures {
    /// Seed of all random draws.
    pub seed: u64,
    /// Name of the workload.
    pub workload: String,
    /// Names of the disturbances, joined by '+'.
    pub disturbances: String,
    /// The results of each policy.
    pub policies: Vec<PolicyFigures>,
}

/// The part of a policy's results that a page shows.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize)]
pub struct PolicyFigures {
    /// Name of the policy.
    pub policy: String,
    /// Share of the reusable prefix tokens that were found in an engine's cache.
    pub reuse: f64,
    /// Load skew (highest over mean load of a fleet): time-weighted median.
    pub skew_p50: f64,
    /// Load skew: time-weighted 99th percentile.
    pub skew_p99: f64,
    /// Bytes per node and second for slot requests, answers and releases.
    pub slot_bytes: f64,
    /// Bytes per node and second for customers' demand and shares.
    pub limit_bytes: f64,
    /// Bytes per node and second for load digests.
    pub digest_bytes: f64,
    /// 95th percentile of the time to first token, in milliseconds.
    pub first_token_p95_ms: u64,
}

impl PolicyFigures {
    /// Returns all control bytes per node and second.
    pub(crate) fn control_bytes(&self) -> f64 {
        self.slot_bytes + self.limit_bytes + self.digest_bytes
    }
}
