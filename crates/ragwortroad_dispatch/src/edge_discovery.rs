use std::time::Duration;

use ragwortroad_types::prelude::*;

/// Longest time after a start in which edges are found.
///
/// Callers give up connections to addresses that an answer lacks. An answer before the edges are
/// known would send all of them to the first one.
const GATHER_TIME: Duration = Duration::from_millis(1200);

/// Time without another edge after which a process that has just started counts all as found.
///
/// After a common restart all edges come within a tenth of a second.
const JOIN_TIME: Duration = Duration::from_millis(250);

/// Why callers are not told of edges now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DirectoryError {
    /// This process has just started, and edges are still being found.
    Discovering,
    /// No edge takes callers.
    NoEdge,
}

/// How far a process that has started has found the edges.
#[derive(Clone, Copy, Debug)]
pub struct EdgeDiscovery {
    started_at: ClockTime,
    /// When another edge was found last.
    joined_at: ClockTime,
}

impl EdgeDiscovery {
    /// A process that starts now.
    pub fn new(now: ClockTime) -> Self {
        Self {
            started_at: now,
            joined_at: now,
        }
    }

    /// Another edge was found.
    pub fn note_joined(&mut self, now: ClockTime) {
        self.joined_at = now;
    }

    /// Why callers are not to be told of the `ready` ones among `edges` now, if so.
    pub fn check_ready(
        &self,
        ready: usize,
        edges: usize,
        now: ClockTime,
    ) -> Option<DirectoryError> {
        let is_new = now.since(self.started_at) < GATHER_TIME;
        let is_joined = now.since(self.joined_at) < JOIN_TIME;
        if is_new && (is_joined || ready * 2 < edges) {
            return Some(DirectoryError::Discovering);
        }
        (ready == 0).then_some(DirectoryError::NoEdge)
    }
}
