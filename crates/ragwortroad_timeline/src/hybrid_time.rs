use std::fmt;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::utc_time::utc_text;

/// Width of the counter, which occupies the bits below the milliseconds.
const COUNTER_BITS: u32 = 16;

/// A timestamp of a [`HybridClock`](crate::HybridClock): close to the wall clock and consistent
/// with causality.
///
/// Invariant: the upper 48 bits are milliseconds since 1970 and the lower 16 bits a counter, so
/// timestamps compare as integers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct HybridTime(pub u64);

impl HybridTime {
    /// Returns the first timestamp of the millisecond `wall_ms`, with the counter at 0.
    pub fn from_wall_ms(wall_ms: u64) -> Self {
        Self(wall_ms << COUNTER_BITS)
    }

    /// Returns the milliseconds since 1970.
    pub fn wall_ms(self) -> u64 {
        self.0 >> COUNTER_BITS
    }

    /// Returns the counter that orders timestamps within one millisecond.
    pub fn counter(self) -> u16 {
        self.0 as u16
    }

    /// Returns the next timestamp; a counter overflow carries into the milliseconds.
    pub(crate) fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

impl fmt::Display for HybridTime {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", utc_text(self.wall_ms()))?;
        match self.counter() {
            0 => Ok(()),
            counter => write!(formatter, "+{counter}"),
        }
    }
}
