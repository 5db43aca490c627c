use std::{
    ops::RangeInclusive,
    time::Duration, //
};

use ragwortroad_types::prelude::*;

/// Age from which an endpoint's own load reading is ignored.
///
/// The counts that edges exchange are at most that old and cover the same requests.
const READING_TTL: Duration = Duration::from_millis(600);

/// Age from which the time factor in a reading is ignored; it changes many times per second.
const TIME_FACTOR_TTL: Duration = Duration::from_millis(300);

/// Time that work takes on a VM that is not slowed down by others, in percent.
const USUAL_TIME_PERCENT: u32 = 100;

/// Range of plausible times in percent; a reading outside counts as usual.
const PLAUSIBLE_TIME_PERCENT: RangeInclusive<u32> = 10..=2000;

/// Pause after an endpoint's first failure; it doubles with each further one.
const INITIAL_PAUSE: Duration = Duration::from_millis(500);

/// Longest pause before a single request probes the endpoint again.
const MAX_PAUSE: Duration = Duration::from_secs(8);

/// Weight of one outcome in the moving failure rate, which covers about the last ten outcomes.
const FAILURE_WEIGHT: f64 = 0.1;

/// Time without an outcome in which the failure rate halves.
///
/// An endpoint that gets no requests yields no outcomes. Without the decay it would never get
/// requests again, and the other endpoints would carry its share.
const FAILURE_RATE_HALF_LIFE: Duration = Duration::from_secs(4);

/// Failure rate that makes no difference to any decision.
const NEGLIGIBLE_FAILURE_RATE: f64 = 0.001;

/// Load that an endpoint reports along with a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReading {
    /// Requests being processed.
    pub running: u32,
    /// Requests queued at the endpoint.
    pub waiting: u32,
    /// How long work takes on its VM at this moment, in percent of the usual time; `None` if the
    /// endpoint does not tell.
    pub time_percent: Option<u32>,
}

/// Load and health of one endpoint, as seen by one edge.
#[derive(Clone, Debug, Default)]
pub struct EndpointLoad {
    /// Requests of this edge in flight at the endpoint.
    own: u32,
    /// Last reading, when it arrived, and this edge's requests in flight at that time.
    reading: Option<(LoadReading, ClockTime, u32)>,
    /// Consecutive failures.
    failures: u32,
    /// The endpoint gets no request before this time.
    paused_until: ClockTime,
    /// Moving failure rate, from 0 to 1, and when it was last updated.
    failure_rate: (f64, ClockTime),
}

impl EndpointLoad {
    /// Records that a request is sent to the endpoint.
    pub fn start_request(&mut self) {
        self.own += 1;
    }

    /// Records that a request has ended, whatever its outcome.
    pub fn finish_request(&mut self) {
        self.own = self.own.saturating_sub(1);
    }

    /// Returns this edge's requests in flight at the endpoint.
    pub fn own(&self) -> u32 {
        self.own
    }

    /// Records a load reading received with a response.
    pub fn note_reading(&mut self, reading: LoadReading, now: ClockTime) {
        self.reading = Some((reading, now, self.own));
    }

    /// Estimates the requests at the endpoint, with `others` being those of the other edges.
    ///
    /// Takes the larger of two values: the endpoint's last reading, adjusted by the requests that
    /// this edge has sent and finished since, and the count exchanged between edges. Both lag
    /// behind requests sent a moment ago, and underestimating an endpoint would attract the next
    /// burst of all edges.
    pub fn estimate(&self, others: u32, now: ClockTime) -> u32 {
        let counted = self.own + others;
        let Some((reading, read_at, own_at_reading)) = self.reading else {
            return counted;
        };
        if now.since(read_at) > READING_TTL {
            return counted;
        }
        let total = reading.running + reading.waiting;
        let adjusted = (total + self.own).saturating_sub(own_at_reading);
        adjusted.max(counted)
    }

    /// Returns how long work takes at the endpoint at this moment, as a multiple of the usual time.
    pub fn time_factor(&self, now: ClockTime) -> f64 {
        let fresh = self.reading;
        let fresh = fresh.filter(|(_, read_at, _)| now.since(*read_at) <= TIME_FACTOR_TTL);
        let percent = fresh.and_then(|(reading, ..)| reading.time_percent);
        let percent = percent.filter(|percent| PLAUSIBLE_TIME_PERCENT.contains(percent));
        f64::from(percent.unwrap_or(USUAL_TIME_PERCENT)) / f64::from(USUAL_TIME_PERCENT)
    }

    /// Records a response that shows the endpoint healthy.
    pub fn note_success(&mut self, now: ClockTime) {
        self.failures = 0;
        self.failure_rate = (self.failure_rate(now) * (1.0 - FAILURE_WEIGHT), now);
    }

    /// Records a failure caused by the endpoint and pauses it.
    ///
    /// Without the pause, every edge would keep sending requests to a dead endpoint until the
    /// registries notice the missed announcements some seconds later; with it, only a handful of
    /// requests fail.
    pub fn note_failure(&mut self, now: ClockTime) {
        let doublings = self.failures.min(4);
        let pause = (INITIAL_PAUSE * (1 << doublings)).min(MAX_PAUSE);
        self.failures += 1;
        self.raise_failure_rate(now);
        self.paused_until = now.after(pause);
    }

    /// Records a response that the endpoint failed to deliver properly, without pausing the
    /// endpoint.
    pub fn note_bad_response(&mut self, now: ClockTime) {
        self.raise_failure_rate(now);
    }

    /// Returns the recent failure rate of the endpoint, from 0 to 1.
    pub fn failure_rate(&self, now: ClockTime) -> f64 {
        let (rate, noted_at) = self.failure_rate;
        let halvings = now.since(noted_at).as_secs_f64() / FAILURE_RATE_HALF_LIFE.as_secs_f64();
        rate * 0.5_f64.powf(halvings)
    }

    /// Raises the failure rate from its value before any decay, so that an endpoint which fails
    /// when it is probed is avoided again at once.
    fn raise_failure_rate(&mut self, now: ClockTime) {
        let (rate, _) = self.failure_rate;
        self.failure_rate = (rate + FAILURE_WEIGHT * (1.0 - rate), now);
    }

    /// Returns whether the endpoint may get requests, i.e. is not paused.
    pub fn is_available(&self, now: ClockTime) -> bool {
        now >= self.paused_until
    }

    /// Returns whether no decision would differ if this were a new, empty entry.
    pub fn is_idle(&self, now: ClockTime) -> bool {
        let is_read = |read_at| now.since(read_at) <= READING_TTL;
        let is_quiet = self.own == 0 && self.failures == 0 && self.is_available(now);
        let has_reading = self.reading.is_some_and(|(_, read_at, _)| is_read(read_at));
        is_quiet && !has_reading && self.failure_rate(now) < NEGLIGIBLE_FAILURE_RATE
    }

    /// Clears everything but the requests in flight, for an endpoint that has restarted.
    pub fn reset(&mut self) {
        *self = Self {
            own: self.own,
            ..Self::default()
        };
    }
}
