use std::fmt;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    BenchSettings,
    PolicyKind,
    PolicyReport,
    WorkloadKind, //
};

/// What a bench found; the same to the letter for the same settings.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BenchReport {
    /// The seed.
    pub seed: u64,
    /// The workload.
    pub workload: WorkloadKind,
    /// The disturbances, by name.
    pub disturbances: String,
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
            report.compare(planned);
        }
        Self {
            seed: settings.seed,
            workload: settings.workload,
            disturbances: settings.disturbances.name(),
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
            "workload {:?}, disturbances {}, seed {}, {} s after {} s",
            self.workload, self.disturbances, self.seed, self.seconds, self.warm_seconds
        )?;
        writeln!(
            formatter,
            "{:<31} {:>6} {:>6} {:>5} {:>5} {:>5} {:>7} {:>6} {:>4} {:>6} {:>6} {:>6} {:>5} {:>6} {:>6} {:>5} {:>5} {:>6}",
            "policy",
            "reuse",
            "ofplan",
            "skp50",
            "skp99",
            "skmax",
            "above%",
            "longms",
            "most",
            "moves‰",
            "ask‰",
            "B/n/s",
            "refus",
            "limit",
            "fail",
            "lost",
            "tt50",
            "tt95"
        )?;
        for row in &self.policies {
            writeln!(
                formatter,
                "{:<31} {:>6.4} {:>6.4} {:>5.2} {:>5.2} {:>5.2} {:>7.3} {:>6} {:>4} {:>6.1} {:>6.1} {:>6.0} {:>5} {:>6} {:>6} {:>5} {:>5} {:>6}",
                row.policy,
                row.reuse,
                row.reuse_of_planner,
                row.skew_p50,
                row.skew_p99,
                row.skew_max,
                100.0 * row.above_share,
                row.above_longest_ms,
                row.above_most,
                row.moves_per_1000,
                row.asked_per_1000,
                row.control_bytes(),
                row.refused,
                row.limited,
                row.failed,
                row.lost,
                row.first_token_p50_ms,
                row.first_token_p95_ms,
            )?;
        }
        Ok(())
    }
}
