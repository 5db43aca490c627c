use ragwortroad_dispatch::prelude::*;

use crate::edge_state::EdgeState;

/// Effects of one message with endpoint updates, for its log line.
///
/// The registry logs each endpoint; thousands of lines at each of hundreds of edges would only
/// repeat that.
#[derive(Debug, Default)]
pub(crate) struct UpdateCounts {
    started: usize,
    stopped: usize,
    changed: usize,
}

impl UpdateCounts {
    /// Counts the effect of one update.
    pub(crate) fn add(&mut self, change: EndpointChange) {
        match change {
            EndpointChange::Started(_) => self.started += 1,
            EndpointChange::Stopped(_) => self.stopped += 1,
            EndpointChange::Changed(_) => self.changed += 1,
            EndpointChange::Same => {}
        }
    }

    /// Logs the counts, unless nothing has changed.
    pub(crate) fn log(&self, state: &EdgeState, source: SourceKey) {
        let Self {
            started,
            stopped,
            changed,
        } = self;
        if started + stopped + changed == 0 {
            return;
        }
        let registry = state.links.get(&source).map(|link| link.address);
        let ready = state.endpoints.ready_count();
        tracing::info!(
            ?registry,
            started,
            stopped,
            changed,
            ready,
            "endpoints updated"
        );
    }
}
