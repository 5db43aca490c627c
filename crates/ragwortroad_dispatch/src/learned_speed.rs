use std::time::Duration;

use ragwortroad_types::prelude::*;

/// Number of runs with which the assumption of the usual speed weighs against what was learned.
const PRIOR_RUNS: f64 = 4.0;

/// Smallest weight of a run in the moving mean, which then covers about the last eight runs.
const MIN_RUN_WEIGHT: f64 = 0.125;

/// Range of the ratio that one run can teach; a single stalled run says little.
const RATIO_RANGE: (f64, f64) = (0.5, 4.0);

/// Time without a run in which the difference from the usual speed halves.
///
/// A slow endpoint gets little work. Without the decay it would not be found quick again.
const HALF_LIFE: Duration = Duration::from_secs(8);

/// Difference from the usual time that makes no difference to any decision.
const NEGLIGIBLE_DIFFERENCE: f64 = 0.1;

/// How long work takes at one endpoint compared with the others of its service, learned from
/// finished runs.
#[derive(Clone, Copy, Debug)]
pub struct LearnedSpeed {
    /// Moving mean of the ratio of a run's time to the mean of the service.
    ratio: f64,
    /// Number of runs that it covers.
    runs: f64,
    noted_at: ClockTime,
}

impl LearnedSpeed {
    /// Returns the speed of an endpoint without runs.
    pub fn new(now: ClockTime) -> Self {
        Self {
            ratio: 1.0,
            runs: 0.0,
            noted_at: now,
        }
    }

    /// Records a run that took `ratio` times as long as runs at other endpoints.
    pub fn note(&mut self, ratio: f64, now: ClockTime) {
        let (min, max) = RATIO_RANGE;
        let kept = 0.5_f64.powf(self.half_lives(now));
        self.runs = self.runs * kept + 1.0;
        let weight = (1.0 / self.runs).max(MIN_RUN_WEIGHT);
        self.ratio += (ratio.clamp(min, max) - self.ratio) * weight;
        self.noted_at = now;
    }

    /// Returns how long work takes there as a multiple of the usual time.
    pub fn factor(&self, now: ClockTime) -> f64 {
        let trust = self.runs / (self.runs + PRIOR_RUNS);
        let difference = (self.ratio - 1.0) * trust * 0.5_f64.powf(self.half_lives(now));
        match difference.abs() < NEGLIGIBLE_DIFFERENCE {
            true => 1.0,
            false => 1.0 + difference,
        }
    }

    fn half_lives(&self, now: ClockTime) -> f64 {
        now.since(self.noted_at).as_secs_f64() / HALF_LIFE.as_secs_f64()
    }
}
