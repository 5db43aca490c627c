use std::time::Duration;

/// Responses per measurement round.
///
/// Low enough that one of eighty edges detects a surge within half a second.
const SAMPLES_PER_ROUND: usize = 8;

/// Share of the latency target above which a median response shows that requests queue at the
/// endpoints.
///
/// The rest of the target is for queueing at the edge and for responses slower than the median.
const QUEUED_TARGET_RATIO: f64 = 0.6;

/// Multiple of the baseline latency above which a median response shows that requests queue at the
/// endpoints.
///
/// Without it, a service that is slow by itself would have requests rejected for nothing.
const QUEUED_BASELINE_MULTIPLE: f64 = 2.0;

/// Weight of a round's fastest response in the baseline if it is slower than the baseline.
const BASELINE_WEIGHT: f64 = 0.02;

/// Factor of the limit after a round with queueing.
const DECREASE_FACTOR: f64 = 0.85;

/// Factor of the limit after a round without queueing.
const INCREASE_FACTOR: f64 = 1.1;

/// Adaptive limit on one edge's concurrent requests to a plain service, derived from the latency of
/// its responses.
///
/// Replicas of plain services report no load, and the counts that edges exchange are older than
/// their responses take. When most responses of a round have queued, the limit decreases; a single
/// slow replica does not affect the median of a round, and is avoided by endpoint selection. The
/// limit protects against loads above the replicas' capacity: without one, all responses are late,
/// and the replicas reject requests that then have to be sent twice.
#[derive(Clone, Debug)]
pub struct LatencyLimit {
    limit: f64,
    /// Latencies of the current round, relative to the latency target.
    latencies: Vec<f64>,
    /// Baseline latency of the fastest responses, relative to the latency target; `None` before the
    /// first round.
    baseline: Option<f64>,
}

impl Default for LatencyLimit {
    fn default() -> Self {
        Self {
            limit: f64::INFINITY,
            latencies: Vec::with_capacity(SAMPLES_PER_ROUND),
            baseline: None,
        }
    }
}

impl LatencyLimit {
    /// Returns the largest number of requests in flight; infinite until queueing was detected.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// Records the `latency` of a response, with a latency target of `target` and `in_flight`
    /// requests; returns whether the limit has changed.
    pub fn note(&mut self, latency: Duration, target: Duration, in_flight: u32) -> bool {
        if target.is_zero() {
            return false;
        }
        self.latencies
            .push(latency.as_secs_f64() / target.as_secs_f64());
        if self.latencies.len() < SAMPLES_PER_ROUND {
            return false;
        }
        self.latencies.sort_by(f64::total_cmp);
        let median = self.latencies[SAMPLES_PER_ROUND / 2];
        let fastest = self.latencies[0];
        self.latencies.clear();
        let baseline = match self.baseline {
            Some(known) if fastest > known => known + (fastest - known) * BASELINE_WEIGHT,
            _ => fastest,
        };
        self.baseline = Some(baseline);
        let before = self.limit;
        let has_queued =
            median > QUEUED_TARGET_RATIO && median > baseline * QUEUED_BASELINE_MULTIPLE;
        self.limit = match has_queued {
            true => (before.min(f64::from(in_flight)) * DECREASE_FACTOR).max(1.0),
            false => before * INCREASE_FACTOR,
        };
        before != self.limit
    }
}
