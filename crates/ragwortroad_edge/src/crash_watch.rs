//! Quarantine of requests that crash the endpoints which run them.

use ragwortroad_link::prelude::*;
use ragwortroad_routing::BlamedPart;
use ragwortroad_types::prelude::*;

use crate::{
    edge_state::{
        EdgeShared,
        EdgeState, //
    },
    request_plan::RequestPlan, //
};

/// Maximum number of reports sent to a registry at once.
const MAX_SENT_REPORTS: usize = 200;

/// Whether a request must not be sent to any endpoint.
pub(crate) fn is_quarantined(shared: &EdgeShared, plan: &RequestPlan) -> bool {
    let state = shared.state.borrow();
    // The digest of a request is needed only after a crash.
    let is_known =
        !state.crashes.is_empty() && state.crashes.is_quarantined(plan.digest(), shared.now());
    is_known || (!state.parts.is_empty() && find_blamed(&state, plan).is_some())
}

/// Whether a request under which an endpoint has just crashed must not be sent to another one.
pub(crate) fn is_doubtful(shared: &EdgeShared, plan: &RequestPlan) -> bool {
    let state = shared.state.borrow();
    !state.parts.is_empty() && state.parts.is_doubtful(plan.suspects())
}

fn find_blamed(state: &EdgeState, plan: &RequestPlan) -> Option<BlamedPart> {
    state.parts.find_blamed(plan.suspects())
}

/// Describes, for logs, the part for which a request is refused and the crashes that condemned it.
pub(crate) fn explain_blame(shared: &EdgeShared, plan: &RequestPlan) -> Option<String> {
    let blamed = find_blamed(&shared.state.borrow(), plan)?;
    let part = plan.suspect_id(blamed.part);
    let now = shared.now();
    let crashes = blamed.crashes.iter().map(|(endpoint, at)| {
        let age = now.since(*at).as_secs_f64();
        format!("{} {age:.1} s ago", endpoint.name)
    });
    let crashes: Vec<String> = crashes.collect();
    Some(format!("{part} crashed {}", crashes.join(", ")))
}

/// Records that an endpoint has written on a request for long enough to be innocent of a crash.
///
/// `began_at` is the time of the first output.
pub(crate) fn observe_writing(shared: &EdgeShared, plan: &RequestPlan, began_at: ClockTime) {
    if !plan.has_shared_parts() {
        return;
    }
    let now = shared.now();
    let parts = &mut shared.state.borrow_mut().parts;
    // The digest of a request is needed only after a crash.
    match parts.is_empty() {
        true => parts.observe(&plan.suspect_parts(), &PartEnd::Wrote, began_at, now),
        false => parts.observe(plan.suspects(), &PartEnd::Wrote, began_at, now),
    };
}

/// Records that an endpoint has run a request to its end.
pub(crate) fn observe_completion(shared: &EdgeShared, plan: &RequestPlan) {
    let mut state = shared.state.borrow_mut();
    if !state.crashes.is_empty() {
        let now = shared.now();
        state.crashes.observe(plan.digest(), RunEnd::Completed, now);
    }
}

impl EdgeState {
    /// Sends new observations of crashes to all registries.
    ///
    /// All of them rather than the home alone, so that a registry that fails at this moment takes
    /// no report with it.
    pub(crate) fn send_crashes(&mut self, now: ClockTime) {
        self.crashes.expire(now);
        self.parts.expire(now);
        self.parts.refresh(now);
        self.crashes.set_explained(self.parts.explained());
        let crashes = self.crashes.take_news(MAX_SENT_REPORTS, now);
        let crashes = (!crashes.is_empty()).then_some(LinkMessage::Crashes(crashes));
        let parts = self.parts.take_news(MAX_SENT_REPORTS, now);
        let parts = (!parts.is_empty()).then_some(LinkMessage::PartCrashes(parts));
        for message in crashes.into_iter().chain(parts) {
            self.send_to_registries(&message);
        }
    }

    fn send_to_registries(&self, message: &LinkMessage) {
        for queue in self.links.values().filter_map(|link| link.queue.as_ref()) {
            queue.send(message);
        }
    }

    /// All known crashes for a new home registry, which may have restarted.
    ///
    /// Only the home gets them: if all edges sent theirs to a registry that has just started, they
    /// would take its link when its group needs it most.
    pub(crate) fn known_crashes(&self, now: ClockTime) -> Vec<LinkMessage> {
        let crashes = self.crashes.reports(MAX_SENT_REPORTS, now);
        let parts = self.parts.reports(MAX_SENT_REPORTS, now);
        let crashes = (!crashes.is_empty()).then_some(LinkMessage::Crashes(crashes));
        let parts = (!parts.is_empty()).then_some(LinkMessage::PartCrashes(parts));
        crashes.into_iter().chain(parts).collect()
    }
}
