//! Quarantine of requests that crash the endpoints which run them.

use ragwortroad_link::prelude::*;
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
    !state.crashes.is_empty() && state.crashes.is_quarantined(plan.digest(), shared.now())
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
        let reports = self.crashes.take_news(MAX_SENT_REPORTS, now);
        if reports.is_empty() {
            return;
        }
        let message = LinkMessage::Crashes(reports);
        for queue in self.links.values().filter_map(|link| link.queue.as_ref()) {
            queue.send(&message);
        }
    }

    /// All known crashes for a new home registry, which may have restarted; `None` if there are none.
    ///
    /// Only the home gets them: if all edges sent theirs to a registry that has just started, they
    /// would take its link when its group needs it most.
    pub(crate) fn known_crashes(&self, now: ClockTime) -> Option<LinkMessage> {
        let reports = self.crashes.reports(MAX_SENT_REPORTS, now);
        (!reports.is_empty()).then_some(LinkMessage::Crashes(reports))
    }
}
