use std::time::Duration;

use ragwortroad_types::prelude::*;

/// Longest duration of discovery after a start.
///
/// Clients close connections to addresses that a response omits, so a response before the edges are
/// known would send all clients to the first edge.
const MAX_DISCOVERY_TIME: Duration = Duration::from_millis(1200);

/// Time without a new edge after which discovery counts as complete.
///
/// After a restart of the whole fleet all edges join within a tenth of a second.
const QUIET_TIME: Duration = Duration::from_millis(250);

/// Reason why the directory cannot return any edge.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DirectoryError {
    /// The process has just started and is still discovering edges.
    Discovering,
    /// No edge is ready.
    NoEdge,
}

/// Discovery of the edges by a process that has just started.
#[derive(Clone, Copy, Debug)]
pub struct EdgeDiscovery {
    started_at: ClockTime,
    /// When the last edge was discovered.
    joined_at: ClockTime,
}

impl EdgeDiscovery {
    /// Starts discovery.
    pub fn new(now: ClockTime) -> Self {
        Self {
            started_at: now,
            joined_at: now,
        }
    }

    /// Records that another edge was discovered.
    pub fn note_joined(&mut self, now: ClockTime) {
        self.joined_at = now;
    }

    /// Returns why clients cannot be referred to the `ready` edges out of `edges` now, or `None` if
    /// they can.
    pub fn check_ready(
        &self,
        ready: usize,
        edges: usize,
        now: ClockTime,
    ) -> Option<DirectoryError> {
        let is_new = now.since(self.started_at) < MAX_DISCOVERY_TIME;
        let has_recent_join = now.since(self.joined_at) < QUIET_TIME;
        if is_new && (has_recent_join || ready * 2 < edges) {
            return Some(DirectoryError::Discovering);
        }
        (ready == 0).then_some(DirectoryError::NoEdge)
    }
}
