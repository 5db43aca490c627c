use std::time::Duration;

use ragwortroad_types::prelude::*;

/// After this time an endpoint's own reading says nothing about its load any more.
///
/// The counts that edges tell each other are no older than that, and tell the same.
const READING_LIFE: Duration = Duration::from_millis(600);

/// Time for which an endpoint is left alone after its first failure; doubled by each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(500);

/// Longest time for which an endpoint is left alone before one request tries it again.
const LONGEST_PAUSE: Duration = Duration::from_secs(8);

/// Weight of one outcome in the moving share of failures: about the last ten count.
const FAILURE_WEIGHT: f64 = 0.1;

/// Time without an outcome in which the share of failures halves.
///
/// An endpoint that is left alone shows no more whether it fails. Were its share kept, it would get
/// nothing for good, and the others would carry its part.
const FAILING_HALF_LIFE: Duration = Duration::from_secs(4);

/// What an endpoint said of its load with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReading {
    /// Requests it works on.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
}

/// What one edge knows of one endpoint's load and health.
#[derive(Clone, Debug, Default)]
pub struct EndpointLoad {
    /// Requests of this edge that are under way there.
    own: u32,
    /// The last reading, with the time and this edge's own requests at that time.
    reading: Option<(LoadReading, ClockTime, u32)>,
    /// Failures in a row.
    failures: u32,
    /// No request goes there before this time.
    paused_until: ClockTime,
    /// Moving share of requests that failed by the endpoint's fault, from 0 to 1, and when it was so.
    failing: (f64, ClockTime),
}

impl EndpointLoad {
    /// Notes that a request goes there.
    pub fn start_request(&mut self) {
        self.own += 1;
    }

    /// Notes that a request there has ended, however it did.
    pub fn finish_request(&mut self) {
        self.own = self.own.saturating_sub(1);
    }

    /// Requests of this edge that are under way there.
    pub fn own(&self) -> u32 {
        self.own
    }

    /// Takes a reading that came with an answer.
    pub fn note_reading(&mut self, reading: LoadReading, now: ClockTime) {
        self.reading = Some((reading, now, self.own));
    }

    /// Requests that are at the endpoint by the best knowledge here, with `others` of other edges.
    ///
    /// The endpoint's own reading, moved by what this edge has sent and got back since, or what the
    /// edges counted together, whichever is more: both miss what was sent a moment ago, and an
    /// endpoint taken for emptier than it is gets the next rush of all edges.
    pub fn estimate(&self, others: u32, now: ClockTime) -> u32 {
        let counted = self.own + others;
        let Some((reading, read_at, own_then)) = self.reading else {
            return counted;
        };
        if now.since(read_at) > READING_LIFE {
            return counted;
        }
        let total = reading.running + reading.waiting;
        let moved = (total + self.own).saturating_sub(own_then);
        moved.max(counted)
    }

    /// Notes an answer that shows the endpoint well.
    pub fn note_success(&mut self, now: ClockTime) {
        self.failures = 0;
        self.failing = (self.failure_rate(now) * (1.0 - FAILURE_WEIGHT), now);
    }

    /// Notes a failure that is the endpoint's own.
    ///
    /// Without the pause every edge would go on offering requests to a dead endpoint until its
    /// announcements are missed, some seconds later; with it a handful of requests meet it.
    pub fn note_failure(&mut self, now: ClockTime) {
        let doublings = self.failures.min(4);
        let pause = (FIRST_PAUSE * (1 << doublings)).min(LONGEST_PAUSE);
        self.failures += 1;
        self.raise_failure_rate(now);
        self.paused_until = now.after(pause);
    }

    /// Notes an answer that the endpoint spoiled while others are well.
    pub fn note_bad_answer(&mut self, now: ClockTime) {
        self.raise_failure_rate(now);
    }

    /// Share of its requests that failed lately, from 0 to 1.
    pub fn failure_rate(&self, now: ClockTime) -> f64 {
        let (share, noted_at) = self.failing;
        let halvings = now.since(noted_at).as_secs_f64() / FAILING_HALF_LIFE.as_secs_f64();
        share * 0.5_f64.powf(halvings)
    }

    /// Raises the share of failures, from what it was before it halved: one that is tried again and
    /// fails is left alone at once.
    fn raise_failure_rate(&mut self, now: ClockTime) {
        let (share, _) = self.failing;
        self.failing = (share + FAILURE_WEIGHT * (1.0 - share), now);
    }

    /// Whether requests may go there.
    pub fn is_available(&self, now: ClockTime) -> bool {
        now >= self.paused_until
    }

    /// Starts anew, for an endpoint that has started anew.
    pub fn reset(&mut self) {
        *self = Self {
            own: self.own,
            ..Self::default()
        };
    }
}
