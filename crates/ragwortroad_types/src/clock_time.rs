use std::{
    fmt,
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};

/// A reading of a clock in milliseconds, handed in by whoever owns the clock.
///
/// Pure crates never read a clock: the caller passes the time with every input, so that a run can
/// be replayed. Within one process it is a monotonic clock's reading; between processes only
/// differences of one process's own readings mean anything.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct ClockTime(pub u64);

impl ClockTime {
    /// The reading at the clock's start.
    pub const ZERO: Self = Self(0);

    /// The reading `span` after this one.
    pub fn after(self, span: Duration) -> Self {
        Self(self.0.saturating_add(span.as_millis() as u64))
    }

    /// The reading `span` before this one, or [`Self::ZERO`] where that lies before the start.
    pub fn before(self, span: Duration) -> Self {
        Self(self.0.saturating_sub(span.as_millis() as u64))
    }

    /// The time from `earlier` to this reading, or nothing where `earlier` is the later one.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

impl fmt::Display for ClockTime {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} ms", self.0)
    }
}
