use std::{
    fmt,
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};

/// A clock reading in milliseconds, passed in by the code that owns the clock.
///
/// Crates without I/O never read a clock; the time is passed with every input, so that a run can be
/// replayed. Within a process this is the reading of a monotonic clock. Between processes, only
/// differences of readings of one process are meaningful.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct ClockTime(pub u64);

impl ClockTime {
    /// The reading at the start of the clock.
    pub const ZERO: Self = Self(0);

    /// Returns the reading `span` later, saturating at the maximum.
    pub fn after(self, span: Duration) -> Self {
        Self(self.0.saturating_add(span.as_millis() as u64))
    }

    /// Returns the reading `span` earlier, saturating at [`Self::ZERO`].
    pub fn before(self, span: Duration) -> Self {
        Self(self.0.saturating_sub(span.as_millis() as u64))
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is the later reading.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

impl fmt::Display for ClockTime {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} ms", self.0)
    }
}
