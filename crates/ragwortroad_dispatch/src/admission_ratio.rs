use std::time::Duration;

use ragwortroad_types::prelude::*;

/// Half-life of the counts.
///
/// At one of eighty edges it covers some dozen requests of a rank, and it is well below the seconds
/// that a surge lasts, so a surge is noticed in time.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Decaying counts of the requests of one rank: offered and admitted.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AdmissionRatio {
    offered: f64,
    admitted: f64,
    decayed_at: ClockTime,
}

impl AdmissionRatio {
    pub(crate) fn new(now: ClockTime) -> Self {
        Self {
            offered: 0.0,
            admitted: 0.0,
            decayed_at: now,
        }
    }

    /// Counts an offered request.
    pub(crate) fn offer(&mut self, now: ClockTime) {
        self.decay(now);
        self.offered += 1.0;
    }

    /// Counts an admitted request.
    pub(crate) fn admit(&mut self, now: ClockTime) {
        self.decay(now);
        self.admitted += 1.0;
    }

    /// Returns the admitted share of the offered requests, 1 if there were none.
    pub(crate) fn ratio(&self) -> f64 {
        ratio_or_one(self.admitted, self.offered)
    }

    fn decay(&mut self, now: ClockTime) {
        let half_lives = now.since(self.decayed_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        let factor = 0.5_f64.powf(half_lives);
        self.offered *= factor;
        self.admitted *= factor;
        self.decayed_at = now;
    }
}

/// Divides `part` by `whole`; returns 1 if `whole` is zero.
fn ratio_or_one(part: f64, whole: f64) -> f64 {
    if whole > 0.0 { part / whole } else { 1.0 }
}
