use std::time::Duration;

use ragwortroad_types::prelude::*;

/// A record carries the penalty in quarters of a restart.
const QUARTERS_PER_RESTART: f64 = 4.0;
/// Cap on the penalty: without it, an endpoint that flapped for hours would stay suppressed for
/// further hours.
const MAX_PENALTY: f64 = 8.0;

/// A flap penalty: the number of recent restarts and reappearances of an endpoint, with exponential
/// decay.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FlapPenalty {
    /// The penalty at `updated_at`.
    penalty: f64,
    updated_at: ClockTime,
}

impl FlapPenalty {
    /// Restores a penalty from a record that arrived at `updated_at`.
    pub(crate) fn from_quarters(quarters: u8, updated_at: ClockTime) -> Self {
        let penalty = f64::from(quarters) / QUARTERS_PER_RESTART;
        Self {
            penalty,
            updated_at,
        }
    }

    /// Encodes the penalty at `now` for a record.
    pub(crate) fn quarters(&self, now: ClockTime, half_life: Duration) -> u8 {
        (self.decayed(now, half_life) * QUARTERS_PER_RESTART).round() as u8
    }

    /// Returns the penalty after decay until `now`.
    pub(crate) fn decayed(&self, now: ClockTime, half_life: Duration) -> f64 {
        let elapsed_s = now.since(self.updated_at).as_secs_f64();
        let half_lives = elapsed_s / half_life.as_secs_f64().max(0.001);
        self.penalty * (-half_lives).exp2()
    }

    /// Counts one restart or reappearance.
    pub(crate) fn add(&mut self, now: ClockTime, half_life: Duration) {
        self.penalty = (self.decayed(now, half_life) + 1.0).min(MAX_PENALTY);
        self.updated_at = now;
    }
}
