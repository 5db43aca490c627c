use std::time::Duration;

/// Pause before a process that was not reached is dialled again.
const FIRST_PAUSE: Duration = Duration::from_millis(150);

/// Longest pause; a process that comes back is found within it.
const LONGEST_PAUSE: Duration = Duration::from_millis(1200);

/// Time after the own start in which pauses stay short.
const EAGER_TIME: Duration = Duration::from_secs(3);

/// Time that an attempt may take while pauses are short.
///
/// Connections within a region are there after some milliseconds, and twice the longest way on earth
/// takes a quarter of a second.
const EAGER_PATIENCE: Duration = Duration::from_millis(250);

/// Time after the own start in which others are most likely coming up too.
const PROMPT_TIME: Duration = Duration::from_secs(1);

/// Pause between attempts in that time.
const PROMPT_PAUSE: Duration = Duration::from_millis(50);

/// Time that an attempt may take in that time.
///
/// Processes of the own region answer within it; those of others are reached a second later.
const PROMPT_PATIENCE: Duration = Duration::from_millis(100);

/// Pauses between attempts to reach another process of the fleet.
///
/// They double, for a VM that is gone would otherwise cost all others a few attempts a second for as
/// long. After a common restart processes are up within a second of each other; with pauses that had
/// grown meanwhile edges would find registries late, and nobody would be served until then.
#[derive(Clone, Copy, Debug)]
pub struct DialBackoff {
    pause: Duration,
}

impl Default for DialBackoff {
    fn default() -> Self {
        Self { pause: FIRST_PAUSE }
    }
}

impl DialBackoff {
    /// The pause before the next attempt of a process that started `running` ago.
    pub fn next_delay(&mut self, running: Duration) -> Duration {
        if running < PROMPT_TIME {
            return PROMPT_PAUSE;
        }
        let pause = self.pause;
        if running >= EAGER_TIME {
            self.pause = (pause * 2).min(LONGEST_PAUSE);
        }
        pause
    }

    /// How long an attempt of a process that started `running` ago may take, `whole` at the most.
    ///
    /// A VM that has no power yet does not refuse a connection: what is sent to it is lost, and the
    /// system sends it again only after a second. After a common loss of power the edges that
    /// start first would wait so long for registries that are up a moment later; short attempts
    /// that are repeated find them then.
    pub fn attempt_timeout(&self, running: Duration, whole: Duration) -> Duration {
        let longest = match running {
            running if running < PROMPT_TIME => PROMPT_PATIENCE,
            running if running < EAGER_TIME => EAGER_PATIENCE,
            _ => whole,
        };
        whole.min(longest)
    }

    /// The process was reached.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}
