use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::run::bench_run::BenchRun;

/// What one policy did.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct PolicyReport {
    /// Its name.
    pub policy: String,
    /// Requests that arrived in the measured time.
    pub arrived: u64,
    /// Requests answered whole.
    pub completed: u64,
    /// Requests refused because their customer was over its limit.
    pub limited: u64,
    /// Requests refused because no engine had room.
    pub refused: u64,
    /// Share of refusals for room among requests of customers that never surge.
    pub refused_small_share: f64,
    /// Attempts that failed, and those followed by another.
    pub failed: u64,
    /// Attempts that were made after a failed one.
    pub retried: u64,
    /// Requests that ended in an error after something may have run.
    pub lost: u64,
    /// Requests cut off with their node.
    pub cut: u64,
    /// Share of prefix tokens that were found in a cache.
    pub reuse: f64,
    /// The same as a share of the planner's, where it ran too.
    pub reuse_of_planner: f64,
    /// Requests of a chat on another engine than its last, for each thousand.
    pub moves_per_1000: f64,
    /// Peak over mean of the load, weighted by time.
    pub skew_p50: f64,
    /// Exceeded one hundredth of the time.
    pub skew_p99: f64,
    /// Highest at any moment.
    pub skew_max: f64,
    /// Share of time in which some engine of a fleet was above the bound.
    pub above_share: f64,
    /// Longest such time, in milliseconds.
    pub above_longest_ms: u64,
    /// Requests beyond the bound at the worst moment.
    pub above_most: u32,
    /// Control bytes a node and second: questions, answers and releases of slots.
    pub slot_bytes: f64,
    /// Customers' demand and shares.
    pub limit_bytes: f64,
    /// Load digests, worked out.
    pub digest_bytes: f64,
    /// Milliseconds a request was held, on average.
    pub held_mean_ms: f64,
    /// Questions to homes, for each thousand requests.
    pub asked_per_1000: f64,
    /// Milliseconds to the first token: median.
    pub first_token_p50_ms: u64,
    /// 95 in 100.
    pub first_token_p95_ms: u64,
    /// 95 in 100, of customers that never surge.
    pub first_token_small_p95_ms: u64,
}

impl PolicyReport {
    /// What a finished run found.
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
            asked_per_1000: rounded(1000.0 * ratio(tally.asked, tally.arrived)),
            first_token_p50_ms: quantile(&tally.first_token, 0.5),
            first_token_p95_ms: quantile(&tally.first_token, 0.95),
            first_token_small_p95_ms: quantile(&tally.first_token_small, 0.95),
        }
    }

    /// All control bytes a node and second.
    pub fn control_bytes(&self) -> f64 {
        self.slot_bytes + self.limit_bytes + self.digest_bytes
    }

    /// Notes the planner's reuse beside this policy's.
    pub(crate) fn set_planner_reuse(&mut self, planner: f64) {
        if planner > 0.0 {
            self.reuse_of_planner = rounded(self.reuse / planner);
        }
    }
}

/// The skew of all fleets of a run together.
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

/// The ratio below which `share` of the time was spent.
fn time_weighted_quantile(ratios: &BTreeMap<u32, u64>, share: f64) -> f64 {
    let total: u64 = ratios.values().sum();
    let wanted = (share * total as f64).ceil() as u64;
    let mut seen = 0;
    for (ratio, span) in ratios {
        seen += span;
        if seen >= wanted {
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

/// Four digits after the point, so that reports can be compared by eye and by `diff`.
fn rounded(value: f64) -> f64 {
    (value * 10_000.0).round() / 10_000.0
}
