use std::time::Duration;

/// Weight of one run in the moving means.
const RUN_WEIGHT: f64 = 0.1;

/// How long the runs of one route take, learned from those that finished.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunTimes {
    /// Time to the first event, or to the response of a plain call.
    start: Option<Duration>,
    /// Time from one event to the next.
    event: Option<Duration>,
    /// Number of events.
    events: f64,
    /// Time to the first event at engines that had read the shared prefix.
    start_held: Option<Duration>,
    /// Time to the first event at other engines.
    start_unheld: Option<Duration>,
}

impl RunTimes {
    /// Records a plain call.
    pub fn note_call(&mut self, time: Duration) {
        self.start = Some(moving_mean(self.start, time));
    }

    /// Records a stream of `events` that took `start` to the first of them and `rest` for the others.
    pub fn note_stream(
        &mut self,
        holds_prefix: bool,
        start: Duration,
        rest: Duration,
        events: u32,
    ) {
        let held = match holds_prefix {
            true => &mut self.start_held,
            false => &mut self.start_unheld,
        };
        *held = Some(moving_mean(*held, start));
        self.events = match self.start {
            Some(_) => self.events + (f64::from(events) - self.events) * RUN_WEIGHT,
            None => f64::from(events),
        };
        self.start = Some(moving_mean(self.start, start));
        if events > 1 {
            self.event = Some(moving_mean(self.event, rest / (events - 1)));
        }
    }

    /// Returns the time for which a request holds a slot, with the expected number of `events`, or the
    /// mean one if that is unknown; `None` before the first run has finished.
    pub fn slot_time(&self, events: Option<f64>) -> Option<Duration> {
        let events = events.unwrap_or(self.events);
        let rest = self
            .event
            .unwrap_or_default()
            .mul_f64((events - 1.0).max(0.0));
        self.start.map(|start| start + rest)
    }

    /// Returns the time that an engine takes to read the shared prefix; `None` while it is unknown.
    pub fn prefix_read(&self) -> Option<Duration> {
        let (held, unheld) = self.start_held.zip(self.start_unheld)?;
        Some(unheld.saturating_sub(held))
    }
}

fn moving_mean(mean: Option<Duration>, time: Duration) -> Duration {
    mean.map_or(time, |mean| {
        mean.mul_f64(1.0 - RUN_WEIGHT) + time.mul_f64(RUN_WEIGHT)
    })
}
