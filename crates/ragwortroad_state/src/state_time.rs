use std::{
    fmt,
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};

/// A reading of the clock in the replicated state, in milliseconds.
///
/// It advances only by the stamps of applied commands. It never runs ahead of true time by more
/// than the drift of one clock, and stands still while nobody leads; spans that are measured by it
/// can only come out longer than declared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct StateTime(pub u64);

impl StateTime {
    /// The reading `span` after this one.
    pub fn after(self, span: Duration) -> Self {
        Self(self.0.saturating_add(span.as_millis() as u64))
    }

    /// The time from `earlier` to this reading, or nothing where `earlier` is the later one.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

impl fmt::Display for StateTime {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} ms", self.0)
    }
}
