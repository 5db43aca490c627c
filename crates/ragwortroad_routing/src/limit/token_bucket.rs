use std::time::Duration;

use ragwortroad_types::ClockTime;

/// A rate limit with a bounded burst.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TokenBucket {
    rate: f64,
    /// The most that may accumulate.
    depth: f64,
    /// Below zero after a request used more than was estimated.
    level: f64,
    filled_at: ClockTime,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub(crate) fn new(rate: f64, depth: f64, now: ClockTime) -> Self {
        Self {
            rate,
            depth,
            level: depth,
            filled_at: now,
        }
    }

    /// Changes the rate and the depth from `now` on.
    pub(crate) fn set_rate(&mut self, rate: f64, depth: f64, now: ClockTime) {
        self.fill(now);
        self.rate = rate;
        self.depth = depth;
        self.level = self.level.min(depth);
    }

    /// Returns the time until `amount` is available.
    pub(crate) fn wait_for(&mut self, amount: f64, now: ClockTime) -> Duration {
        self.fill(now);
        // An amount larger than the bucket passes when the bucket is full; the rest becomes a debt.
        let missing = amount.min(self.depth) - self.level;
        if missing <= f64::EPSILON {
            return Duration::ZERO;
        }
        const MAX_WAIT_S: f64 = 60.0;
        Duration::from_secs_f64((missing / self.rate.max(1e-6)).min(MAX_WAIT_S))
    }

    /// Removes `amount`, which may leave a debt, or be negative to return tokens.
    pub(crate) fn take(&mut self, amount: f64) {
        self.level = (self.level - amount).min(self.depth);
    }

    fn fill(&mut self, now: ClockTime) {
        let span = now.since(self.filled_at).as_secs_f64();
        self.level = (self.level + span * self.rate).min(self.depth);
        self.filled_at = self.filled_at.max(now);
    }
}
