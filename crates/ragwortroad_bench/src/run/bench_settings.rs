use crate::{
    DisturbanceSet,
    PolicyKind,
    WorkloadKind, //
};

/// The settings of [`run_bench`](crate::run_bench).
#[derive(Clone, Debug, PartialEq)]
pub struct BenchSettings {
    /// Seed of all random draws.
    pub seed: u64,
    /// The workload to simulate.
    pub workload: WorkloadKind,
    /// The disturbances that the run includes.
    pub disturbances: DisturbanceSet,
    /// Simulated warm-up before the measurement, in which the caches fill, in seconds.
    pub warm_seconds: u64,
    /// Simulated duration of the measurement, in seconds.
    pub seconds: u64,
    /// The policies to compare, each run on the same arrivals and disturbances.
    pub policies: Vec<PolicyKind>,
    /// Request rate as a multiple of the workload's rate.
    pub load_factor: f64,
    /// Overrides `mean_margin` of the route tables; `None` keeps the default.
    pub mean_margin: Option<f64>,
}

impl Default for BenchSettings {
    fn default() -> Self {
        Self {
            seed: 7,
            workload: WorkloadKind::Ljosmynd,
            disturbances: DisturbanceSet::CHURN,
            warm_seconds: 120,
            seconds: 240,
            policies: PolicyKind::comparison_series(),
            load_factor: 1.0,
            mean_margin: None,
        }
    }
}
