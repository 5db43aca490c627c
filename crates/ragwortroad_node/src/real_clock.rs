use std::time::{
    Duration,
    Instant,
    SystemTime,
    UNIX_EPOCH, //
};

use ragwortroad_types::prelude::*;

/// The one place of a process that reads clocks.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RealClock {
    /// Where this process's monotonic time starts.
    start: Instant,
}

impl RealClock {
    /// A clock that reads [`Self::LEAD`] now.
    pub(crate) fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Time that seems to have passed when the clock starts.
    ///
    /// Pure crates subtract spans from readings; with a start at zero those differences would be
    /// cut off at zero and something that never happened would look recent.
    const LEAD: Duration = Duration::from_secs(3600);

    /// Monotonic time.
    pub(crate) fn now(&self) -> ClockTime {
        ClockTime::ZERO.after(Self::LEAD + self.start.elapsed())
    }

    /// Milliseconds since 1970, which may jump; only for people and for the hybrid logical clock.
    pub(crate) fn wall_ms(&self) -> u64 {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        since.map_or(0, |span| span.as_millis() as u64)
    }
}
