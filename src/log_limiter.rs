//! How many lines about single requests are written in a second.

#[cfg(test)]
mod tests;

use std::sync::atomic::{
    AtomicU64,
    Ordering, //
};

/// Lines about single requests that a process writes in a second.
///
/// An edge with twenty requests a second writes two or three lines for each; this is some ten times
/// that. Lines took 6.5 and 8.1 % of the processor time of a busy day on two sites; without a limit,
/// callers who repeat at once and often would have an edge spend its time on their refusals.
const REQUEST_LINES_PER_SECOND: u64 = 500;

/// Counts lines about single requests, and those that are left out.
///
/// Lines about what a process believes are rare and never left out.
#[derive(Debug, Default)]
pub(crate) struct LogLimiter {
    /// The second that is being counted, in seconds of any steady clock.
    second: AtomicU64,
    /// Lines that were wanted in it.
    requested: AtomicU64,
    /// Lines that were left out since the start.
    suppressed: AtomicU64,
}

impl LogLimiter {
    /// Whether another line may be written in this second.
    ///
    /// Two threads that see a new second at the same time may both reset the count, which costs
    /// nothing but a few lines more.
    pub(crate) fn admit(&self, second: u64) -> bool {
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.requested.store(0, Ordering::Relaxed);
        }
        let admits = self.requested.fetch_add(1, Ordering::Relaxed) < REQUEST_LINES_PER_SECOND;
        if !admits {
            self.suppressed.fetch_add(1, Ordering::Relaxed);
        }
        admits
    }

    /// Lines that were left out since the start.
    pub(crate) fn suppressed(&self) -> u64 {
        self.suppressed.load(Ordering::Relaxed)
    }
}
