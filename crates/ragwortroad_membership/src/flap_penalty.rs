use std::time::Duration;

use ragwortroad_types::prelude::*;

/// Quarters, in which a penalty travels in a record.
const QUARTERS_PER_RESTART: f64 = 4.0;
/// Highest count, so that an endpoint which flapped for hours is not set aside for hours more.
const MAX_PENALTY: f64 = 8.0;

/// Counts an endpoint's restarts and returns, forgetting them over time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FlapPenalty {
    /// The count at `at`.
    penalty: f64,
    /// When the count was taken.
    updated_at: ClockTime,
}

impl FlapPenalty {
    /// Continues from what a record said when it arrived.
    pub(crate) fn from_quarters(quarters: u8, updated_at: ClockTime) -> Self {
        let penalty = f64::from(quarters) / QUARTERS_PER_RESTART;
        Self {
            penalty,
            updated_at,
        }
    }

    /// The form in which it travels in a record.
    pub(crate) fn quarters(&self, now: ClockTime, half_life: Duration) -> u8 {
        (self.decayed(now, half_life) * QUARTERS_PER_RESTART).round() as u8
    }

    /// The count after forgetting until `now`.
    pub(crate) fn decayed(&self, now: ClockTime, half_life: Duration) -> f64 {
        let elapsed_s = now.since(self.updated_at).as_secs_f64();
        let half_lives = elapsed_s / half_life.as_secs_f64().max(0.001);
        self.penalty * (-half_lives).exp2()
    }

    /// Counts one restart or return.
    pub(crate) fn add(&mut self, now: ClockTime, half_life: Duration) {
        self.penalty = (self.decayed(now, half_life) + 1.0).min(MAX_PENALTY);
        self.updated_at = now;
    }
}
