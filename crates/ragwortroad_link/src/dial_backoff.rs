use std::time::Duration;

/// Delay after the first failed attempt, doubled on each further one.
const INITIAL_DELAY: Duration = Duration::from_millis(150);

/// Upper bound of the delay; a peer that comes back is reached within it.
const MAX_DELAY: Duration = Duration::from_millis(1200);

/// Time since process start during which the delay does not grow.
const EARLY_PERIOD: Duration = Duration::from_secs(3);

/// Timeout of one attempt during the early period.
///
/// Connections within a region take a few milliseconds, and the longest round trip on Earth takes a
/// quarter of a second.
const EARLY_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(250);

/// Time since process start during which peers are most likely starting too.
const STARTUP_PERIOD: Duration = Duration::from_secs(1);

/// Delay between attempts during the startup period.
const STARTUP_DELAY: Duration = Duration::from_millis(50);

/// Timeout of one attempt during the startup period.
///
/// Peers in the same region respond within it; peers in other regions are reached a second later.
const STARTUP_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(100);

/// Exponential backoff for connection attempts to another process of the fleet.
///
/// Without it a VM that is gone would cost all others a few attempts per second until it returns.
/// After a restart of the whole fleet, processes start within a second of each other. If delays had
/// already grown by then, edges would find registries late and no client would be served in the
/// meantime, so delays stay short at first.
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
    /// Returns the delay before the next attempt. `uptime` is the time since this process started.
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

    /// Returns the timeout for one connection attempt, at most `max_timeout`.
    ///
    /// `uptime` is the time since this process started. A VM that is still powered off does not
    /// refuse connections: the SYN is lost, and the kernel retransmits it only after a second.
    /// After a power failure of the whole fleet, the edges that start first would wait that long
    /// for registries that are up a moment later; short, repeated attempts reach them sooner.
    pub fn attempt_timeout(&self, uptime: Duration, max_timeout: Duration) -> Duration {
        let timeout = match uptime {
            uptime if uptime < STARTUP_PERIOD => STARTUP_ATTEMPT_TIMEOUT,
            uptime if uptime < EARLY_PERIOD => EARLY_ATTEMPT_TIMEOUT,
            _ => max_timeout,
        };
        max_timeout.min(timeout)
    }

    /// Resets the delay after a successful connection.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}
