use ragwortroad_dispatch::prelude::*;

/// Effects of endpoint updates since the last log line about them.
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

    /// Logs the counts, unless nothing has changed, and starts again from zero.
    pub(crate) fn log(&mut self, ready: usize) {
        let Self {
            started,
            stopped,
            changed,
        } = std::mem::take(self);
        if started + stopped + changed > 0 {
            tracing::info!(started, stopped, changed, ready, "endpoints updated");
        }
    }
}
