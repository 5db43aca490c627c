use std::time::Duration;

/// Pause before a process that was not reached is dialled again.
const INITIAL_DELAY: Duration = Duration::from_millis(150);

/// Longest pause; a process that comes back is found within it.
const MAX_DELAY: Duration = Duration::from_millis(1200);

/// Time after the own start in which pauses stay short.
const EARLY_PERIOD: Duration = Duration::from_secs(3);

/// Time that an attempt may take while pauses are short.
///
/// Connections within a region are there after some milliseconds, and twice the longest way on earth
/// takes a quarter of a second.
const EARLY_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(250);

/// Time after the own start in which others are most likely coming up too.
const STARTUP_PERIOD: Duration = Duration::from_secs(1);

/// Pause between attempts in that time.
const STARTUP_DELAY: Duration = Duration::from_millis(50);

/// Time that an attempt may take in that time.
///
/// Processes of the own region answer within it; those of others are reached a second later.
const STARTUP_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(100);

/// Pauses between attempts to reach another process of the fleet.
///
/// They double, for a VM that is gone would otherwise cost all others a few attempts a second for as
/// long. After a common restart processes are up within a second of each other; with pauses that had
/// grown meanwhile edges would find registries late, and nobody would be served until then.
#[derive(Clone, Copy, Debug)]
pub struct DialBackoff {
    delay: Duration,
}

impl Default for DialBackoff {
    fn default() -> Self {
        Self {
            delay: INITIAL_DELAY,
        }
    }
}

impl DialBackoff {
    /// The pause before the next attempt of a process that started `running` ago.
    pub fn next_delay(&mut self, uptime: Duration) -> Duration {
        if uptime < STARTUP_PERIOD {
            return STARTUP_DELAY;
        }
        let delay = self.delay;
        if uptime >= EARLY_PERIOD {
            self.delay = (delay * 2).min(MAX_DELAY);
        }
        delay
    }

    /// How long an attempt of a process that started `running` ago may take, `whole` at the most.
    ///
    /// A VM that has no power yet does not refuse a connection: what is sent to it is lost, and the
    /// system sends it again only after a second. After a common loss of power the edges that
    /// start first would wait so long for registries that are up a moment later; short attempts
    /// that are repeated find them then.
    pub fn attempt_timeout(&self, uptime: Duration, max_timeout: Duration) -> Duration {
        let timeout = match uptime {
            uptime if uptime < STARTUP_PERIOD => STARTUP_ATTEMPT_TIMEOUT,
            uptime if uptime < EARLY_PERIOD => EARLY_ATTEMPT_TIMEOUT,
            _ => max_timeout,
        };
        max_timeout.min(timeout)
    }

    /// The process was reached.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}
