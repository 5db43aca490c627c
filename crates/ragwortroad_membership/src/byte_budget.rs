use ragwortroad_types::prelude::*;

/// A token bucket that limits the bytes sent. It may be overdrawn by up to one burst.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ByteBudget {
    bytes_per_second: u32,
    /// Upper bound for both the saved-up and the overdrawn bytes.
    burst_bytes: u32,
    /// Balance in thousandths of a byte; negative while overdrawn.
    ///
    /// Invariant: lies between minus and plus `burst_bytes`.
    available_millibytes: i64,
    last_refill: ClockTime,
}

/// Balances are kept in thousandths of a byte, so that a refill after one millisecond loses nothing
/// to rounding.
const MILLIBYTES_PER_BYTE: i64 = 1000;

impl ByteBudget {
    /// Creates a full budget.
    pub(crate) fn new(bytes_per_second: u32, burst_bytes: u32) -> Self {
        Self {
            bytes_per_second,
            burst_bytes,
            available_millibytes: i64::from(burst_bytes) * MILLIBYTES_PER_BYTE,
            last_refill: ClockTime::ZERO,
        }
    }

    /// Adds the bytes earned since the last refill.
    pub(crate) fn refill(&mut self, now: ClockTime) {
        let elapsed_ms = now.since(self.last_refill).as_millis().min(3_600_000) as i64;
        let max_millibytes = i64::from(self.burst_bytes) * MILLIBYTES_PER_BYTE;
        self.available_millibytes = (self.available_millibytes
            + elapsed_ms * i64::from(self.bytes_per_second))
        .min(max_millibytes);
        self.last_refill = self.last_refill.max(now);
    }

    pub(crate) fn has_available(&self) -> bool {
        self.available_millibytes > 0
    }

    /// Deducts `bytes`, overdrawing the budget if necessary.
    pub(crate) fn spend(&mut self, bytes: usize) {
        let min_millibytes = -i64::from(self.burst_bytes) * MILLIBYTES_PER_BYTE;
        self.available_millibytes =
            (self.available_millibytes - bytes as i64 * MILLIBYTES_PER_BYTE).max(min_millibytes);
    }
}
