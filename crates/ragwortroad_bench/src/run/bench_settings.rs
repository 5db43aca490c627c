use crate::{
    DisturbanceSet,
    PolicyKind,
    WorkloadKind, //
};

/// What [`run_bench`](crate::run_bench) is to run.
#[derive(Clone, Debug, PartialEq)]
pub struct BenchSettings {
    /// Decides every draw.
    pub seed: u64,
    /// Which deployment.
    pub workload: WorkloadKind,
    /// What goes wrong.
    pub disturbances: DisturbanceSet,
    /// Seconds before the measured time, in which caches fill.
    pub warm_seconds: u64,
    /// Seconds measured.
    pub seconds: u64,
    /// What is compared.
    pub policies: Vec<PolicyKind>,
    /// Requests a second, as a multiple of the workload's.
    pub load_factor: f64,
    /// Changes the settings of the tables, for trials of one value.
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
