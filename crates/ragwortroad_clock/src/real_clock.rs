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

/// The one place of a process that reads clocks.
#[derive(Clone, Copy, Debug)]
pub struct RealClock {
    /// Where this process's time starts.
    start: Duration,
}

impl RealClock {
    /// A clock that reads [`Self::START_OFFSET`] now.
    pub fn start() -> Self {
        Self { start: boot_time() }
    }

    /// Time that seems to have passed when the clock starts.
    ///
    /// Pure crates subtract spans from readings; with a start at zero those differences would be
    /// cut off at zero and something that never happened would look recent.
    const START_OFFSET: Duration = Duration::from_secs(3600);

    /// Time that never goes back and goes on while the VM is suspended.
    ///
    /// The usual monotonic clock stands still then. A leader that was suspended for an hour would
    /// find its lease still running when it wakes up, with another leader long elected.
    pub fn now(&self) -> ClockTime {
        let elapsed = boot_time().saturating_sub(self.start);
        ClockTime::ZERO.after(Self::START_OFFSET + elapsed)
    }

    /// Milliseconds since 1970, which may jump; only for people and for the hybrid logical clock.
    pub fn wall_ms(&self) -> u64 {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        since.map_or(0, |span| span.as_millis() as u64)
    }
}

/// Time since the machine was booted, time in suspension included.
fn boot_time() -> Duration {
    let reading = clock_gettime(ClockId::Boottime);
    // Neither part is negative: the clock starts at zero.
    Duration::new(reading.tv_sec as u64, reading.tv_nsec as u32)
}
