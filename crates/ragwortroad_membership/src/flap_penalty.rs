use std::time::Duration;

use ragwortroad_types::prelude::*;

/// Quarters, in which a penalty travels in a record.
const QUARTERS: f64 = 4.0;
/// Highest count, so that an endpoint which flapped for hours is not set aside for hours more.
const MOST: f64 = 8.0;

/// Counts an endpoint's restarts and returns, forgetting them over time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FlapPenalty {
    /// The count at `at`.
    count: f64,
    /// When the count was taken.
    at: ClockTime,
}

impl FlapPenalty {
    /// Continues from what a record said when it arrived.
    pub(crate) fn from_quarters(quarters: u8, at: ClockTime) -> Self {
        let count = f64::from(quarters) / QUARTERS;
        Self { count, at }
    }

    /// The form in which it travels in a record.
    pub(crate) fn quarters(&self, now: ClockTime, half_life: Duration) -> u8 {
        (self.at_time(now, half_life) * QUARTERS).round() as u8
    }

    /// The count after forgetting until `now`.
    pub(crate) fn at_time(&self, now: ClockTime, half_life: Duration) -> f64 {
        let span = now.since(self.at).as_secs_f64();
        let half_lives = span / half_life.as_secs_f64().max(0.001);
        self.count * (-half_lives).exp2()
    }

    /// Counts one restart or return.
    pub(crate) fn add(&mut self, now: ClockTime, half_life: Duration) {
        self.count = (self.at_time(now, half_life) + 1.0).min(MOST);
        self.at = now;
    }
}
