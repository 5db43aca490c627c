use ragwortroad_dispatch::prelude::*;
use tokio::time::Instant;

use crate::{
    edge_state::EdgeShared,
    endpoint_choice::ChosenEndpoint,
    request_plan::RequestPlan, //
};

/// Events from which the time per event of a run tells something of its endpoint.
const MIN_EVENTS: u32 = 8;

/// Measures one run of a stream, to learn how long runs of its route take and how fast its endpoint
/// works.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunClock {
    endpoint: EndpointTag,
    /// Whether the endpoint was believed to hold the request's shared prefix.
    holds_prefix: bool,
    started_at: Instant,
    first_event_at: Option<Instant>,
    events: u32,
}

impl RunClock {
    pub(crate) fn new(chosen: &ChosenEndpoint, started_at: Instant) -> Self {
        Self {
            endpoint: EndpointTag::of(&chosen.name),
            holds_prefix: chosen.holds_prefix,
            started_at,
            first_event_at: None,
            events: 0,
        }
    }

    /// Records that events have arrived.
    pub(crate) fn note_events(&mut self) {
        self.first_event_at.get_or_insert_with(Instant::now);
        self.events += 1;
    }

    /// Learns from the run, whose stream is complete.
    ///
    /// A client that takes up a stream again gets part of the run's time only.
    pub(crate) fn finish(&self, shared: &EdgeShared, plan: &RequestPlan) {
        let Some(first_event_at) = self.first_event_at else {
            return;
        };
        if plan.metadata.last_event_id.is_some() || !shared.settings.mechanisms.learns_runs() {
            return;
        }
        let now = shared.now();
        let mut state = shared.state.borrow_mut();
        let name = &plan.rule().name;
        let start = first_event_at - self.started_at;
        let rest = first_event_at.elapsed();
        let times = state.run_times_mut(name);
        times.note_stream(self.holds_prefix, start, rest, self.events);
        if shared.settings.mechanisms.request_work {
            state.note_output(plan, self.events);
        }
        if self.events >= MIN_EVENTS && shared.settings.mechanisms.endpoint_speeds {
            let event_time = rest / self.events;
            state.speeds.note_run(name, self.endpoint, event_time, now);
        }
    }
}
