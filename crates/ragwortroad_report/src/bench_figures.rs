use serde::Deserialize;

/// What a page shows of a decision bench's report.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize)]
pub struct BenchFigures {
    /// The seed.
    pub seed: u64,
    /// The workload.
    pub workload: String,
    /// The disturbances, joined by '+'.
    pub disturbances: String,
    /// One for each policy.
    pub policies: Vec<PolicyFigures>,
}

/// What a page shows of one policy.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize)]
pub struct PolicyFigures {
    /// Its name.
    pub policy: String,
    /// Share of prefix tokens that were found in a cache.
    pub reuse: f64,
    /// Peak over mean of the load: median over time.
    pub skew_p50: f64,
    /// Exceeded one hundredth of the time.
    pub skew_p99: f64,
    /// Control bytes a node and second: slots.
    pub slot_bytes: f64,
    /// Customers' demand and shares.
    pub limit_bytes: f64,
    /// Load digests.
    pub digest_bytes: f64,
    /// Milliseconds to the first token: 95 in 100.
    pub first_token_p95_ms: u64,
}

impl PolicyFigures {
    /// All control bytes a node and second.
    pub(crate) fn control_bytes(&self) -> f64 {
        self.slot_bytes + self.limit_bytes + self.digest_bytes
    }
}
