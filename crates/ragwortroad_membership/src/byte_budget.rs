use ragwortroad_types::prelude::*;

/// Bytes that may be spent, refilled at a steady rate.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ByteBudget {
    /// Bytes refilled each second.
    bytes_per_second: u32,
    /// Most bytes that can be saved up, and most that can be overdrawn.
    burst_bytes: u32,
    /// Bytes left, in thousandths; negative while overdrawn.
    ///
    /// Invariant: between minus and plus `burst`.
    available_millibytes: i64,
    /// When it was last refilled.
    last_refill: ClockTime,
}

/// Thousandths of a byte in a byte, so that a refill of one millisecond loses nothing.
const MILLIBYTES_PER_BYTE: i64 = 1000;

impl ByteBudget {
    /// A full budget.
    pub(crate) fn new(bytes_per_second: u32, burst_bytes: u32) -> Self {
        Self {
            bytes_per_second,
            burst_bytes,
            available_millibytes: i64::from(burst_bytes) * MILLIBYTES_PER_BYTE,
            last_refill: ClockTime::ZERO,
        }
    }

    /// Adds what the time since the last refill brings.
    pub(crate) fn refill(&mut self, now: ClockTime) {
        let elapsed_ms = now.since(self.last_refill).as_millis().min(3_600_000) as i64;
        let max_millibytes = i64::from(self.burst_bytes) * MILLIBYTES_PER_BYTE;
        self.available_millibytes = (self.available_millibytes
            + elapsed_ms * i64::from(self.bytes_per_second))
        .min(max_millibytes);
        self.last_refill = self.last_refill.max(now);
    }

    /// Whether anything is left.
    pub(crate) fn has_available(&self) -> bool {
        self.available_millibytes > 0
    }

    /// Takes `bytes`, overdrawing if need be.
    pub(crate) fn spend(&mut self, bytes: usize) {
        let min_millibytes = -i64::from(self.burst_bytes) * MILLIBYTES_PER_BYTE;
        self.available_millibytes =
            (self.available_millibytes - bytes as i64 * MILLIBYTES_PER_BYTE).max(min_millibytes);
    }
}
