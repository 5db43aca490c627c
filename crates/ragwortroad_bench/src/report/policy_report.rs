use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::run::bench_run::BenchRun;

/// The results of one policy.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct PolicyReport {
    /// Name of the policy, as [`PolicyKind::name`](crate::PolicyKind::name) gives it.
    pub policy: String,
    /// Requests that arrived during the measurement.
    pub arrived: u64,
    /// Requests answered completely.
    pub completed: u64,
    /// Requests refused because their customer exceeded its limit.
    pub limited: u64,
    /// Requests refused because no engine had capacity.
    pub refused: u64,
    /// Share of requests refused for lack of capacity, of the customers that never surge.
    pub refused_small_share: f64,
    /// Attempts that failed, including those that were retried.
    pub failed: u64,
    /// Retries after a failed attempt.
    pub retried: u64,
    /// Requests that ended in an error after an engine may have run them.
    pub lost: u64,
    /// Requests that were interrupted because their node stopped.
    pub cut: u64,
    /// Share of the reusable prefix tokens that were found in an engine's cache.
    pub reuse: f64,
    /// `reuse` relative to the planner's; 0 if the planner did not run.
    pub reuse_of_planner: f64,
    /// Requests that ran on another engine than the previous request of their chat, per 1000
    /// requests.
    pub moves_per_1000: f64,
    /// Load skew (highest over mean load of a fleet): time-weighted median.
    pub skew_p50: f64,
    /// Load skew: time-weighted 99th percentile.
    pub skew_p99: f64,
    /// Load skew: maximum.
    pub skew_max: f64,
    /// Share of time in which an engine of a fleet was above the load bound.
    pub above_share: f64,
    /// Longest period in which an engine of a fleet was above the load bound, in milliseconds.
    pub above_longest_ms: u64,
    /// The most requests by which an engine exceeded the load bound.
    pub above_most: u32,
    /// Bytes per node and second for slot requests, answers and releases.
    pub slot_bytes: f64,
    /// Bytes per node and second for customers' demand and shares.
    pub limit_bytes: f64,
    /// Bytes per node and second for load digests; computed, not counted message by message.
    pub digest_bytes: f64,
    /// Mean time that a request was held for capacity, in milliseconds.
    pub held_mean_ms: f64,
    /// Slot requests sent to homes, per 1000 requests.
    pub asked_per_1000: f64,
    /// Median time to first token, in milliseconds.
    pub first_token_p50_ms: u64,
    /// 95th percentile of the time to first token, in milliseconds.
    pub first_token_p95_ms: u64,
    /// 95th percentile of the time to first token for customers that never surge, in milliseconds.
    pub first_token_small_p95_ms: u64,
}

impl PolicyReport {
    /// Summarizes a finished run.
    pub(crate) fn of_run(run: &BenchRun<'_>) -> Self {
        let tally = &run.tally;
        let seconds = run.settings.seconds as f64 * run.spec.nodes as f64;
        let skew = SkewSummary::of_run(run);
        Self {
            policy: run.policy.name(),
            arrived: tally.arrived,
            completed: tally.completed,
            limited: tally.limited,
            refused: tally.refused,
            refused_small_share: ratio(tally.refused_small, tally.arrived_small),
            failed: tally.failed,
            retried: tally.retried,
            lost: tally.lost,
            cut: tally.cut,
            reuse: ratio(tally.reused, tally.reusable),
            reuse_of_planner: 0.0,
            moves_per_1000: rounded(1000.0 * ratio(tally.moves, tally.arrived)),
            skew_p50: skew.p50,
            skew_p99: skew.p99,
            skew_max: skew.max,
            above_share: ratio(skew.above_ms, skew.measured_ms),
            above_longest_ms: skew.longest_ms,
            above_most: skew.most_above,
            slot_bytes: rounded(tally.control_bytes.slots as f64 / seconds),
            limit_bytes: rounded(tally.control_bytes.limits as f64 / seconds),
            digest_bytes: rounded(tally.control_bytes.digests as f64 / seconds),
            held_mean_ms: ratio(tally.held_ms, tally.arrived),
            asked_per_1000: rounded(1000.0 * ratio(tally.slot_requests, tally.arrived)),
            first_token_p50_ms: quantile(&tally.first_token, 0.5),
            first_token_p95_ms: quantile(&tally.first_token, 0.95),
            first_token_small_p95_ms: quantile(&tally.first_token_small, 0.95),
        }
    }

    /// Returns all control bytes per node and second.
    pub fn control_bytes(&self) -> f64 {
        self.slot_bytes + self.limit_bytes + self.digest_bytes
    }

    /// Sets [`Self::reuse_of_planner`] from the planner's reuse, unless that is 0.
    pub(crate) fn set_planner_reuse(&mut self, planner_reuse: f64) {
        if planner_reuse > 0.0 {
            self.reuse_of_planner = rounded(self.reuse / planner_reuse);
        }
    }
}

/// The load skew of all fleets of a run combined.
struct SkewSummary {
    p50: f64,
    p99: f64,
    max: f64,
    above_ms: u64,
    longest_ms: u64,
    measured_ms: u64,
    most_above: u32,
}

impl SkewSummary {
    fn of_run(run: &BenchRun<'_>) -> Self {
        let mut ratios: BTreeMap<u32, u64> = BTreeMap::new();
        for tracker in &run.skew_trackers {
            for (ratio, span) in &tracker.ratio_ms {
                *ratios.entry(*ratio).or_insert(0) += span;
            }
        }
        let trackers = || run.skew_trackers.iter();
        Self {
            p50: time_weighted_quantile(&ratios, 0.5),
            p99: time_weighted_quantile(&ratios, 0.99),
            max: time_weighted_quantile(&ratios, 1.0),
            above_ms: trackers().map(|tracker| tracker.above_ms).sum(),
            longest_ms: trackers()
                .map(|tracker| tracker.longest_above_ms)
                .max()
                .unwrap_or(0),
            measured_ms: trackers().map(|tracker| tracker.measured_ms).sum(),
            most_above: trackers()
                .map(|tracker| tracker.most_above)
                .max()
                .unwrap_or(0),
        }
    }
}

/// Returns the smallest ratio that was not exceeded for `share` of the time.
fn time_weighted_quantile(ratios: &BTreeMap<u32, u64>, share: f64) -> f64 {
    let total: u64 = ratios.values().sum();
    let threshold = (share * total as f64).ceil() as u64;
    let mut seen = 0;
    for (ratio, span) in ratios {
        seen += span;
        if seen >= threshold {
            return f64::from(*ratio) / 100.0;
        }
    }
    0.0
}

fn quantile(histogram: &Histogram<u64>, share: f64) -> u64 {
    if histogram.is_empty() {
        return 0;
    }
    histogram.value_at_quantile(share)
}

fn ratio(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        return 0.0;
    }
    rounded(part as f64 / whole as f64)
}

/// Rounds to four decimal places, so that reports can be compared by eye and with `diff`.
fn rounded(value: f64) -> f64 {
    (value * 10_000.0).round() / 10_000.0
}
