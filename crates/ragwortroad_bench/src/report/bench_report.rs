use std::fmt;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    BenchSettings,
    PolicyKind,
    PolicyReport,
    WorkloadKind,
    report::text_cells::text_cells, //
};

/// The results of a bench; byte-identical for equal settings.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct BenchReport {
    /// Seed of all random draws.
    pub seed: u64,
    /// The simulated workload.
    pub workload: WorkloadKind,
    /// Name of the disturbance set, as [`DisturbanceSet::name`](crate::DisturbanceSet::name) gives
    /// it.
    pub disturbances: String,
    /// Request rate as a multiple of the workload's rate.
    pub load_factor: f64,
    /// Simulated warm-up before the measurement, in seconds.
    pub warm_seconds: u64,
    /// Simulated duration of the measurement, in seconds.
    pub seconds: u64,
    /// The results of each policy, in the order of the settings.
    pub policies: Vec<PolicyReport>,
}

impl BenchReport {
    /// Combines the policies' reports and sets their reuse relative to the planner's.
    pub(crate) fn new(settings: &BenchSettings, mut policies: Vec<PolicyReport>) -> Self {
        let planner = PolicyKind::Planner.name();
        let planner_reuse = policies
            .iter()
            .find(|report| report.policy == planner)
            .map_or(0.0, |report| report.reuse);
        for report in &mut policies {
            report.set_planner_reuse(planner_reuse);
        }
        Self {
            seed: settings.seed,
            workload: settings.workload,
            disturbances: settings.disturbances.name(),
            load_factor: settings.load_factor,
            warm_seconds: settings.warm_seconds,
            seconds: settings.seconds,
            policies,
        }
    }

    /// Formats the report as JSON.
    pub fn to_json(&self) -> String {
        serde_json::to_string_pretty(self)
            .unwrap_or_else(|error| unreachable!("the report does not serialize: {error}"))
    }
}

impl fmt::Display for BenchReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            formatter,
            "workload {:?} × {}, disturbances {}, seed {}, {} s after {} s",
            self.workload,
            self.load_factor,
            self.disturbances,
            self.seed,
            self.seconds,
            self.warm_seconds
        )?;
        for (index, row) in self.policies.iter().enumerate() {
            let cells = text_cells(row);
            if index == 0 {
                let headings = cells.iter().map(|(heading, _)| format!(" {heading:>7}"));
                writeln!(
                    formatter,
                    "{:<39}{}",
                    "policy",
                    headings.collect::<String>()
                )?;
            }
            let values = cells.iter().map(|(_, value)| format!(" {value:>7}"));
            writeln!(
                formatter,
                "{:<39}{}",
                row.policy,
                values.collect::<String>()
            )?;
        }
        Ok(())
    }
}
