use std::time::{
    Duration,
    SystemTime,
    UNIX_EPOCH, //
};

use ragwortroad_types::prelude::*;
use rustix::time::{
    ClockId,
    clock_gettime, //
};

/// The only clock that a process reads.
#[derive(Clone, Copy, Debug)]
pub struct RealClock {
    /// Time since boot at which this clock was started.
    start: Duration,
}

impl RealClock {
    /// Starts a clock with a reading well above zero, so that durations can be subtracted from it.
    pub fn start() -> Self {
        Self { start: boot_time() }
    }

    /// Reading of a clock when it is started.
    ///
    /// The other crates subtract durations from readings. With a start at zero the result would
    /// saturate at zero, and something that never happened would look recent.
    const START_OFFSET: Duration = Duration::from_secs(3600);

    /// Returns a monotonic reading that also advances while the VM is suspended.
    ///
    /// The usual monotonic clock stops during suspension. A leader that was suspended for an hour
    /// would find its lease still valid on waking, although another leader was elected long ago.
    pub fn now(&self) -> ClockTime {
        let elapsed = boot_time().saturating_sub(self.start);
        ClockTime::ZERO.after(Self::START_OFFSET + elapsed)
    }

    /// Milliseconds since 1970, which may jump; use only for display and for the hybrid logical
    /// clock.
    pub fn wall_ms(&self) -> u64 {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        since.map_or(0, |span| span.as_millis() as u64)
    }
}

/// Time since the machine booted, including time in suspension.
fn boot_time() -> Duration {
    let reading = clock_gettime(ClockId::Boottime);
    // Neither part is negative, because the clock starts at zero.
    Duration::new(reading.tv_sec as u64, reading.tv_nsec as u32)
}
