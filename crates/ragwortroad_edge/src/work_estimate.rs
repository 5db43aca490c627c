//! What requests are expected to take of endpoints, learned from finished runs.

use std::time::Duration;

use ragwortroad_dispatch::prelude::*;
use ragwortroad_types::prelude::*;

use crate::{
    edge_state::EdgeState,
    request_plan::RequestPlan, //
};

/// Maximum number of routes and services of which something is learned.
const MAX_LEARNED: usize = 5000;

impl EdgeState {
    /// Estimates the work of a request.
    pub(crate) fn work_of(&self, plan: &RequestPlan, now: ClockTime) -> RequestWork {
        let metadata = &plan.metadata;
        let name = &plan.rule().name;
        let times = self.run_times.get(name).copied().unwrap_or_default();
        let Some(engine) = engine_of(plan) else {
            let slot_time = times.slot_time(None).unwrap_or_default();
            return RequestWork {
                slot_time,
                ..RequestWork::default()
            };
        };
        let output = self.outputs.get(name).copied().unwrap_or_default();
        let output = output.expect(metadata.output_hint, metadata.max_output_tokens);
        let events = (output.likely > 0 && engine.event_tokens > 0)
            .then(|| f64::from(output.likely) / f64::from(engine.event_tokens));
        let slot_time = times.slot_time(events).unwrap_or_default();
        let is_held = metadata
            .shared_prefix()
            .is_some_and(|prefix| self.prefixes.holders(prefix, now).next().is_some());
        let cached = match is_held {
            true => metadata.shared_prefix_tokens(),
            false => 0,
        };
        RequestWork::new(metadata.prompt_tokens, cached, output, slot_time)
    }

    /// Records the memory of a request; returns whether requests can exhaust that of the engines, so
    /// that their work decides.
    pub(crate) fn note_memory(
        &mut self,
        plan: &RequestPlan,
        work: &RequestWork,
        now: ClockTime,
    ) -> bool {
        let Some(engine) = engine_of(plan) else {
            return false;
        };
        // Services come and go with configurations, and the bounds are learned again quickly.
        if self.memory_bounds.len() > MAX_LEARNED {
            self.memory_bounds.clear();
        }
        let bound = self.memory_bounds.entry(plan.service.clone()).or_default();
        bound.note(work.memory_tokens, now);
        bound.applies(engine, now)
    }

    /// Returns the run times of a route, creating them if needed.
    pub(crate) fn run_times_mut(&mut self, route: &str) -> &mut RunTimes {
        // Routes come and go with configurations, and the times are learned again quickly.
        if self.run_times.len() > MAX_LEARNED {
            self.run_times.clear();
        }
        self.run_times.entry(route.to_owned()).or_default()
    }

    /// Learns the length of a complete answer of `events`.
    pub(crate) fn note_output(&mut self, plan: &RequestPlan, events: u32) {
        let Some(engine) = engine_of(plan) else {
            return;
        };
        // Routes come and go with configurations, and the outputs are learned again quickly.
        if self.outputs.len() > MAX_LEARNED {
            self.outputs.clear();
        }
        let output = self.outputs.entry(plan.rule().name.clone()).or_default();
        let tokens = events.saturating_mul(engine.event_tokens);
        output.note(tokens, plan.metadata.output_hint);
    }
}

/// Whether a request may still end before its caller leaves, who waits for `time_left`.
pub(crate) fn can_end(plan: &RequestPlan, work: &RequestWork, time_left: Duration) -> bool {
    // A stream that is taken up again needs only part of the time.
    plan.metadata.last_event_id.is_some() || work.can_end_within(time_left)
}

/// Parameters of the engines of a request's service; `None` for a plain service.
fn engine_of(plan: &RequestPlan) -> Option<&EngineRule> {
    let service = plan.map.service(&plan.service);
    service.and_then(|service| service.engine.as_ref())
}
