//! How many lines about single requests are written in a second.

#[cfg(test)]
mod tests;

use std::sync::atomic::{
    AtomicU64,
    Ordering, //
};

/// Lines about single requests that a process writes in a second.
///
/// An edge of today's sites writes some fifty. A line takes about ten microseconds of an edge's
/// quarter of a core; without a limit, callers who repeat at once and often would have it spend its
/// time on lines about their refusals.
const LINES_A_SECOND: u64 = 500;

/// Counts lines about single requests, and those that are left out.
///
/// Lines about what a process believes are rare and never left out.
#[derive(Debug, Default)]
pub(crate) struct LineQuota {
    /// The second that is being counted, in seconds of any steady clock.
    second: AtomicU64,
    /// Lines that were wanted in it.
    wanted: AtomicU64,
    /// Lines that were left out since the start.
    left_out: AtomicU64,
}

impl LineQuota {
    /// Whether another line may be written in this second.
    ///
    /// Two threads that see a new second at the same time may both reset the count, which costs
    /// nothing but a few lines more.
    pub(crate) fn admit(&self, second: u64) -> bool {
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.wanted.store(0, Ordering::Relaxed);
        }
        let admits = self.wanted.fetch_add(1, Ordering::Relaxed) < LINES_A_SECOND;
        if !admits {
            self.left_out.fetch_add(1, Ordering::Relaxed);
        }
        admits
    }

    /// Lines that were left out since the start.
    pub(crate) fn left_out(&self) -> u64 {
        self.left_out.load(Ordering::Relaxed)
    }
}
