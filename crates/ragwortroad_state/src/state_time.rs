use std::{
    fmt,
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};

/// A time of the replicated state clock, in milliseconds.
///
/// The clock advances only by the stamps of applied commands. It never runs ahead of real time by
/// more than the drift of one clock and stands still while there is no leader, so intervals
/// measured with it can only be longer than configured.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct StateTime(pub u64);

impl StateTime {
    /// Returns the time `duration` later, truncated to milliseconds.
    pub fn after(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(duration.as_millis() as u64))
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

impl fmt::Display for StateTime {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} ms", self.0)
    }
}
