use std::collections::BTreeMap;

use crate::run::bench_event::BenchEvent;

/// Events sorted by time; events at the same time keep the order in which they were added.
#[derive(Debug, Default)]
pub(crate) struct EventQueue {
    events: BTreeMap<(u64, u64), BenchEvent>,
    next_sequence: u64,
}

impl EventQueue {
    /// Adds an event that occurs `at_ms` milliseconds after the start of the run.
    pub(crate) fn push(&mut self, at_ms: u64, event: BenchEvent) {
        self.events.insert((at_ms, self.next_sequence), event);
        self.next_sequence += 1;
    }

    /// Removes and returns the next event and its time, or `None` if the queue is empty.
    pub(crate) fn pop(&mut self) -> Option<(u64, BenchEvent)> {
        let ((at, _), event) = self.events.pop_first()?;
        Some((at, event))
    }
}
