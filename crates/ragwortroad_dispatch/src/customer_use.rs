use std::time::Duration;

use ragwortroad_types::prelude::*;

/// Half-life of the counts.
///
/// Long enough that a customer with a request each second is told from one with ten, and short
/// enough that a surge is forgotten a few seconds after its end.
const HALF_LIFE: Duration = Duration::from_secs(1);

/// Count below which a customer is forgotten.
const NEGLIGIBLE: f64 = 0.01;

/// What one customer uses of a service at one edge.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CustomerUse {
    /// Requests in flight.
    pub(crate) running: u32,
    /// Work admitted recently, as a decaying sum.
    work: f64,
    /// Work of requests shed recently, as a decaying sum.
    shed: f64,
    /// Part of a slot that was not reported, since reports count whole ones.
    residual: f64,
    decayed_at: ClockTime,
}

impl CustomerUse {
    pub(crate) fn new(now: ClockTime) -> Self {
        Self {
            running: 0,
            work: 0.0,
            shed: 0.0,
            residual: 0.0,
            decayed_at: now,
        }
    }

    /// Counts an admitted request.
    pub(crate) fn admit(&mut self, work: f64, now: ClockTime) {
        self.decay(now);
        self.work += work;
        self.running += 1;
    }

    /// Counts a shed request. It is no use, so that a customer whose requests are shed precedes the
    /// others when it returns.
    pub(crate) fn shed(&mut self, work: f64, now: ClockTime) {
        self.decay(now);
        self.shed += work;
    }

    /// Work admitted recently.
    pub(crate) fn work(&self, now: ClockTime) -> f64 {
        self.work * self.decay_factor(now)
    }

    /// Work of requests shed recently.
    pub(crate) fn shed_work(&self, now: ClockTime) -> f64 {
        self.shed * self.decay_factor(now)
    }

    /// Returns `slots` in whole slots, so that the values returned add up to those given.
    pub(crate) fn whole_slots(&mut self, slots: f64) -> u32 {
        let exact = slots + self.residual;
        let whole = exact.floor();
        self.residual = exact - whole;
        whole as u32
    }

    /// Whether nothing is known of the customer that matters.
    pub(crate) fn is_negligible(&self, now: ClockTime) -> bool {
        let count = (self.work + self.shed) * self.decay_factor(now);
        self.running == 0 && count < NEGLIGIBLE
    }

    fn decay_factor(&self, now: ClockTime) -> f64 {
        let half_lives = now.since(self.decayed_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        0.5_f64.powf(half_lives)
    }

    fn decay(&mut self, now: ClockTime) {
        let factor = self.decay_factor(now);
        self.work *= factor;
        self.shed *= factor;
        self.decayed_at = now;
    }
}
