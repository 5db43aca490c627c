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

/// What a bench found; the same to the letter for the same settings.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct BenchReport {
    /// The seed.
    pub seed: u64,
    /// The workload.
    pub workload: WorkloadKind,
    /// The disturbances, by name.
    pub disturbances: String,
    /// Requests a second, as a multiple of the workload's.
    pub load_factor: f64,
    /// Seconds before the measured time.
    pub warm_seconds: u64,
    /// Seconds measured.
    pub seconds: u64,
    /// One for each policy, in the order of the settings.
    pub policies: Vec<PolicyReport>,
}

impl BenchReport {
    /// Puts the policies' reports side by side.
    pub(crate) fn new(settings: &BenchSettings, mut policies: Vec<PolicyReport>) -> Self {
        let planner = PolicyKind::Planner.name();
        let planned = policies
            .iter()
            .find(|report| report.policy == planner)
            .map_or(0.0, |report| report.reuse);
        for report in &mut policies {
            report.set_planner_reuse(planned);
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

    /// The report as JSON.
    pub fn to_json(&self) -> String {
        serde_json::to_string_pretty(self)
            .unwrap_or_else(|fault| unreachable!("a report of plain numbers: {fault}"))
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
                let heads = cells.iter().map(|(head, _)| format!(" {head:>7}"));
                writeln!(formatter, "{:<39}{}", "policy", heads.collect::<String>())?;
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
