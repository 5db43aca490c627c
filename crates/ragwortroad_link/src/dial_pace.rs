use std::time::Duration;

/// Pause before a process that was not reached is dialled again.
const FIRST_PAUSE: Duration = Duration::from_millis(150);

/// Longest pause; a process that comes back is found within it.
const LONGEST_PAUSE: Duration = Duration::from_millis(1200);

/// Time after the own start in which pauses stay short.
const EAGER_TIME: Duration = Duration::from_secs(3);

/// Pauses between attempts to reach another process of the fleet.
///
/// They double, for a VM that is gone would otherwise cost all others a few attempts a second for as
/// long. After a common restart processes are up within a second of each other, and with pauses that
/// had grown meanwhile edges found registries up to 0.4 s after these were up, which nobody serves.
#[derive(Clone, Copy, Debug)]
pub struct DialPace {
    pause: Duration,
}

impl Default for DialPace {
    fn default() -> Self {
        Self { pause: FIRST_PAUSE }
    }
}

impl DialPace {
    /// The pause before the next attempt of a process that started `running` ago.
    pub fn next_pause(&mut self, running: Duration) -> Duration {
        let pause = self.pause;
        if running >= EAGER_TIME {
            self.pause = (pause * 2).min(LONGEST_PAUSE);
        }
        pause
    }

    /// The process was reached.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}
