use std::fmt;

use ragwortroad_load::prelude::*;
use serde::Serialize;

/// Results of the demonstration.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct DemoReport {
    /// Number of nodes.
    pub nodes: usize,
    /// Number of stand-in engines.
    pub engines: usize,
    /// Number of replicas of the plain service.
    pub services: usize,
    /// Results of the load, as clients saw them.
    pub load: RunReport,
    /// Chat requests on the busiest engine divided by the mean over all engines.
    pub skew: f64,
    /// Bytes that a node sent to other nodes per second, averaged over the nodes and the run.
    pub control_bytes_per_second: f64,
}

impl DemoReport {
    /// Whether no guarantee of the fleet was violated.
    pub fn passed(&self) -> bool {
        self.load.violations.is_empty()
    }
}

impl fmt::Display for DemoReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            formatter,
            "{} nodes, {} engines, {} service replicas, {:.1} s",
            self.nodes, self.engines, self.services, self.load.seconds
        )?;
        writeln!(formatter, "requests by outcome:")?;
        for outcome in &self.load.outcomes {
            let kind = format!("{:?}", outcome.kind).to_lowercase();
            writeln!(
                formatter,
                "  {:>6}  {kind:<8} {}",
                outcome.count, outcome.end
            )?;
        }
        let reuse = 100.0 * self.load.cache_reuse;
        writeln!(formatter, "cache reuse of returning turns: {reuse:.1} %")?;
        writeln!(
            formatter,
            "skew (requests, peak over mean): {:.2}",
            self.skew
        )?;
        let bytes = self.control_bytes_per_second;
        writeln!(
            formatter,
            "control traffic: {bytes:.0} bytes a second and node"
        )?;
        match self.load.violations.len() {
            0 => write!(formatter, "everything that must always hold did"),
            count => {
                writeln!(formatter, "{count} violations of what must always hold:")?;
                let lines = self.load.violations.iter().map(ToString::to_string);
                formatter.write_str(&lines.collect::<Vec<_>>().join("\n"))
            }
        }
    }
}
