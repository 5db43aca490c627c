use std::time::Duration;

use ragwortroad_types::prelude::*;

/// Time in which what was counted loses half of its weight.
///
/// Some dozen requests of a rank come in it at one of eighty edges, and a surge is noticed well
/// within the seconds that it lasts.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Requests of one rank lately: how many came, and how many of them were admitted.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AdmissionRatio {
    offered: f64,
    admitted: f64,
    counted_at: ClockTime,
}

impl AdmissionRatio {
    pub(crate) fn new(now: ClockTime) -> Self {
        Self {
            offered: 0.0,
            admitted: 0.0,
            counted_at: now,
        }
    }

    /// Counts a request that came.
    pub(crate) fn offer(&mut self, now: ClockTime) {
        self.fade(now);
        self.offered += 1.0;
    }

    /// Counts a request that was admitted.
    pub(crate) fn admit(&mut self, now: ClockTime) {
        self.fade(now);
        self.admitted += 1.0;
    }

    /// Part of the requests that was admitted.
    pub(crate) fn ratio(&self) -> f64 {
        share_of(self.admitted, self.offered)
    }

    fn fade(&mut self, now: ClockTime) {
        let halves = now.since(self.counted_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        let left = 0.5_f64.powf(halves);
        self.offered *= left;
        self.admitted *= left;
        self.counted_at = now;
    }
}

/// `part` of `whole`; everything where there is nothing to divide.
fn share_of(part: f64, whole: f64) -> f64 {
    if whole > 0.0 { part / whole } else { 1.0 }
}
