use ragwortroad_types::prelude::*;

/// Bytes that may be spent, refilled at a steady rate.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ByteBudget {
    /// Bytes refilled each second.
    rate: u32,
    /// Most bytes that can be saved up, and most that can be overdrawn.
    burst: u32,
    /// Bytes left, in thousandths; negative while overdrawn.
    ///
    /// Invariant: between minus and plus `burst`.
    left: i64,
    /// When it was last refilled.
    refilled: ClockTime,
}

/// Thousandths of a byte in a byte, so that a refill of one millisecond loses nothing.
const MILLI: i64 = 1000;

impl ByteBudget {
    /// A full budget.
    pub(crate) fn new(rate: u32, burst: u32) -> Self {
        Self {
            rate,
            burst,
            left: i64::from(burst) * MILLI,
            refilled: ClockTime::ZERO,
        }
    }

    /// Adds what the time since the last refill brings.
    pub(crate) fn refill(&mut self, now: ClockTime) {
        let span = now.since(self.refilled).as_millis().min(3_600_000) as i64;
        let most = i64::from(self.burst) * MILLI;
        self.left = (self.left + span * i64::from(self.rate)).min(most);
        self.refilled = self.refilled.max(now);
    }

    /// Whether anything is left.
    pub(crate) fn has_left(&self) -> bool {
        self.left > 0
    }

    /// Takes `bytes`, overdrawing if need be.
    pub(crate) fn spend(&mut self, bytes: usize) {
        let least = -i64::from(self.burst) * MILLI;
        self.left = (self.left - bytes as i64 * MILLI).max(least);
    }
}
